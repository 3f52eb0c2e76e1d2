package config

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/world"
)

var _ = Describe("System", func() {
	It("applies changes in version order without gaps and never goes back", func() {
		w := &world.World{Now: time.Unix(1, 0), Policy: world.DefaultPolicy(), Random: rand.New(rand.NewPCG(1, 1)), TableReachable: true}
		s := New()
		push := func(versions ...int64) {
			var changes []entity.Change
			for _, v := range versions {
				changes = append(changes, entity.Change{Version: v, Item: entity.Account{Name: "a", Share: v}})
			}
			s.Handle(w, inbox.PeerMessage{Message: entity.ConfigPush{Changes: changes}})
		}
		for _, c := range []struct {
			pushed []int64
			want   int64
		}{
			{[]int64{3, 2}, 0}, // version 1 is missing
			{[]int64{2, 1}, 2}, // out of order
			{[]int64{1}, 2},    // old
			{[]int64{3, 4}, 4},
			{[]int64{2, 3}, 4}, // older again
		} {
			push(c.pushed...)
			Expect(w.Config.Version).To(Equal(c.want))
		}
		account, _ := w.Config.Accounts.Get("a")
		Expect(account.Share).To(Equal(int64(4)))
		Expect(s.Synced()).To(BeTrue())
	})
})
