package dispatch

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/entity"
)

func anyRoom(*entity.Request) bool { return true }

func request(id int64, account string, cost int64) *entity.Request {
	r := &entity.Request{Account: account, MaxCost: cost}
	r.ID, r.Service = id, "small"
	return r
}

var _ = Describe("rankQueue", func() {
	for _, c := range []struct {
		name   string
		shares []int64 // of accounts a, b
		costs  []int64 // of each request of a, b
		want   []int   // requests of a and b among the first 60
	}{
		{"equal shares", []int64{1, 1}, []int64{100, 100}, []int{30, 30}},
		{"shares of 1 and 2", []int64{1, 2}, []int64{100, 100}, []int{20, 40}},
		{"tokens, not requests", []int64{1, 1}, []int64{200, 100}, []int{20, 40}},
	} {
		It("serves by "+c.name, func() {
			q := &rankQueue{}
			for i := range int64(100) {
				q.push(request(2*i, "a", c.costs[0]), c.shares[0], false)
				q.push(request(2*i+1, "b", c.costs[1]), c.shares[1], false)
			}
			got := []int{0, 0}
			for range 60 {
				r := q.peek(anyRoom)
				q.dequeue(r)
				got[int(r.Account[0]-'a')]++
			}
			Expect(got[0]).To(BeNumerically("~", c.want[0], 1))
		})
	}

	It("serves an idle account next, without credit for its idle time", func() {
		q := &rankQueue{}
		for i := range int64(50) {
			q.push(request(i, "large", 100), 1, false)
		}
		for range 20 {
			q.dequeue(q.peek(anyRoom))
		}
		for i := range int64(10) {
			q.push(request(100+i, "small", 100), 1, false)
		}
		Expect(q.peek(anyRoom).Account).To(Equal("small"))
		served := 0
		for range 10 {
			r := q.peek(anyRoom)
			if r.Account == "small" {
				served++
			}
			q.dequeue(r)
		}
		Expect(served).To(BeNumerically("~", 5, 1))
	})

	It("sheds the newest request of the account with the most waiting tokens", func() {
		q := &rankQueue{}
		q.push(request(1, "small", 100), 1, false)
		q.push(request(2, "large", 100), 1, false)
		q.push(request(3, "large", 100), 1, false)
		Expect(q.shedCandidate().ID).To(Equal(int64(3)))
	})
})
