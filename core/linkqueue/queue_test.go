package linkqueue_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/linkqueue"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "linkqueue")
}

var start = time.Unix(1_000, 0)

// kind is one kind of requests of a simulated day.
type kind struct {
	name          string
	rank          int
	bytes         int
	responseBytes int
	perSecond     float64
	timeout       time.Duration
}

// call is one simulated request. Times are since its arrival.
type call struct {
	kind     *kind
	arrived  time.Time
	sent     time.Duration // when it was written to the link; -1 if refused
	refused  time.Duration // -1 if sent
	answered time.Duration // -1 if refused
}

// sim plays requests over a link that carries bytes in their order, with endpoints
// that respond after endpointTime.
type sim struct {
	queue     *linkqueue.Queue // nil for first come, first served
	capacity  float64
	free      time.Time // when the link has sent all that was written
	calls     []*call
	waiting   map[*linkqueue.Entry]*call
	responses []*call // whose responses are not written yet, in order of due
	due       map[*call]time.Time
}

const (
	simStep      = time.Millisecond
	endpointTime = 10 * time.Millisecond
)

func (s *sim) write(bytes int, now time.Time) time.Time {
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(time.Duration(float64(bytes) / s.capacity * float64(time.Second)))
	return s.free
}

func (s *sim) send(c *call, now time.Time) {
	c.sent = now.Sub(c.arrived)
	s.due[c] = s.write(c.kind.bytes, now).Add(endpointTime)
	s.responses = append(s.responses, c)
}

func (s *sim) arrive(c *call, now time.Time) {
	s.calls = append(s.calls, c)
	if s.queue == nil {
		s.send(c, now)
		return
	}
	d := s.queue.Arrive(linkqueue.Request{Rank: c.kind.rank, Bytes: c.kind.bytes, Deadline: now.Add(c.kind.timeout)}, now)
	switch d.Verdict {
	case linkqueue.Send:
		s.send(c, now)
	case linkqueue.Wait:
		s.waiting[d.Entry] = c
	case linkqueue.Refuse:
		c.refused = 0
	}
}

func (s *sim) step(now time.Time) {
	for len(s.responses) > 0 && !s.due[s.responses[0]].After(now) {
		c := s.responses[0]
		s.responses = s.responses[1:]
		if s.queue != nil {
			s.queue.AddResponse(c.kind.responseBytes, now)
		}
		c.answered = s.write(c.kind.responseBytes, now).Sub(c.arrived)
	}
	if s.queue == nil {
		return
	}
	for _, e := range s.queue.Expired(now) {
		s.waiting[e].refused = now.Sub(e.Arrived)
	}
	for e := s.queue.Take(now); e != nil; e = s.queue.Take(now) {
		s.send(s.waiting[e], now)
	}
}

// play plays kinds of requests for a time, and what is left of them.
func play(capacity float64, queue *linkqueue.Queue, duration time.Duration, kinds ...*kind) map[string][]*call {
	s := &sim{queue: queue, capacity: capacity, waiting: map[*linkqueue.Entry]*call{}, due: map[*call]time.Time{}}
	random := rand.New(rand.NewPCG(1, 2))
	next := make([]time.Time, len(kinds))
	for i := range next {
		next[i] = start
	}
	for now := start; now.Before(start.Add(duration + 15*time.Second)); now = now.Add(simStep) {
		for i, k := range kinds {
			for !next[i].After(now) && now.Before(start.Add(duration)) {
				next[i] = next[i].Add(time.Duration(random.ExpFloat64() / k.perSecond * float64(time.Second)))
				s.arrive(&call{kind: k, arrived: now, sent: -1, refused: -1, answered: -1}, now)
			}
		}
		s.step(now)
	}
	byName := map[string][]*call{}
	for _, c := range s.calls {
		byName[c.kind.name] = append(byName[c.kind.name], c)
	}
	return byName
}

// within returns the share of calls that were answered within an aim.
func within(calls []*call, aim time.Duration) float64 {
	n := 0
	for _, c := range calls {
		if c.answered >= 0 && c.answered <= aim {
			n++
		}
	}
	return float64(n) / float64(len(calls))
}

const megabit = 125_000.0 // bytes

var _ = Describe("A link of 10 Mbit/s with 60 app calls of 1.4 kB and 90 contracts of 20 kB a second", func() {
	const aim = 120 * time.Millisecond
	kinds := func(contractRank int) []*kind {
		return []*kind{
			{"app", 0, 1_400, 800, 60, time.Second},
			{"contract", contractRank, 20_000, 800, 90, 4 * time.Second},
		}
	}

	It("answers app calls late if all are sent as they come", func() {
		calls := play(10*megabit, nil, 20*time.Second, kinds(2)...)
		Expect(within(calls["app"], aim)).To(BeNumerically("<", 0.2))
	})

	// Guards against app calls that wait behind bodies, and against contracts that
	// wait until their deadlines before they are refused.
	for _, t := range []struct {
		name string
		rank int
	}{{"of a lower rank", 2}, {"of the same rank", 0}} {
		It("answers app calls in time, and refuses at once the contracts that it can't serve, "+t.name, func() {
			calls := play(10*megabit, &linkqueue.Queue{Capacity: 10 * megabit}, 20*time.Second, kinds(t.rank)...)
			Expect(within(calls["app"], aim)).To(BeNumerically(">=", 0.95))
			served := 0
			for _, c := range slices.Concat(calls["app"], calls["contract"]) {
				Expect(c.refused).To(BeNumerically("<=", 50*time.Millisecond))
				Expect(c.sent).To(BeNumerically("<=", c.kind.timeout))
				Expect(c.sent >= 0 || c.refused >= 0).To(BeTrue(), "each is sent or refused")
				if c.kind.name == "contract" && c.answered >= 0 {
					served++
					Expect(c.answered).To(BeNumerically("<=", c.kind.timeout))
				}
			}
			Expect(served).To(BeNumerically(">", 1_000), "of about 1,160 that the link carries in 20 s")
		})
	}
})

var _ = Describe("A link that app calls of a high rank fill, beside contracts of a lower one", func() {
	// Guards against ranks that never get a turn, against bodies of a lower rank that take
	// most of the link, and against requests that wait in vain.
	It("gives one in eight turns, weighted by size, to the oldest, and refuses the rest early", func() {
		calls := play(10*megabit, &linkqueue.Queue{Capacity: 10 * megabit}, 20*time.Second,
			&kind{"app", 0, 1_400, 800, 700, time.Second}, &kind{"contract", 2, 20_000, 800, 90, 4 * time.Second})
		Expect(within(calls["app"], time.Second)).To(BeNumerically(">=", 0.7), "the link carries 0.8 of them")
		Expect(within(calls["contract"], 4*time.Second) * float64(len(calls["contract"]))).To(BeNumerically(">=", 80))
		late := 0
		for _, c := range slices.Concat(calls["app"], calls["contract"]) {
			Expect(c.sent).To(BeNumerically("<=", c.kind.timeout))
			Expect(c.refused).To(BeNumerically("<=", c.kind.timeout/2), "the client has time to try elsewhere")
			if c.refused > 50*time.Millisecond {
				late++
			}
		}
		Expect(late).To(BeNumerically("<=", len(calls["contract"])/50))
	})
})

var _ = Describe("Queue", func() {
	request := linkqueue.Request{Bytes: 1_000, Deadline: start.Add(10 * time.Second)}

	It("passes requests without allocation while the link's backlog is short", func() {
		q := &linkqueue.Queue{Capacity: 10 * megabit}
		now := start
		q.Arrive(request, now)
		passed := 0
		Expect(testing.AllocsPerRun(100, func() {
			now = now.Add(10 * time.Millisecond)
			if q.Arrive(request, now).Verdict == linkqueue.Send {
				passed++
			}
		})).To(BeZero())
		Expect(passed).To(Equal(101), "one run to warm up")
		unlimited := &linkqueue.Queue{}
		unlimited.AddResponse(1<<30, start)
		Expect(unlimited.Arrive(request, start).Verdict).To(Equal(linkqueue.Send))
	})

	It("sends by rank, then by size, then by arrival", func() {
		q := &linkqueue.Queue{Capacity: 10 * megabit}
		q.AddResponse(100_000, start)
		names := map[*linkqueue.Entry]string{}
		for i, r := range []struct {
			name  string
			rank  int
			bytes int
		}{{"d", 1, 900}, {"c", 0, 9_000}, {"a", 0, 900}, {"b", 0, 600}} {
			now := start.Add(time.Duration(i) * time.Millisecond)
			names[q.Arrive(linkqueue.Request{Rank: r.rank, Bytes: r.bytes, Deadline: start.Add(10 * time.Second)}, now).Entry] = r.name
		}
		order := ""
		for now := start.Add(100 * time.Millisecond); q.Waiting() > 0; now = now.Add(10 * time.Millisecond) {
			if e := q.Take(now); e != nil {
				order += names[e]
			}
		}
		Expect(order).To(Equal("abcd"))
	})

	// Guards against requests that wait for an estimate of the backlog that is wrong.
	It("holds requests for a second at most if only the link's backlog is long", func() {
		q := &linkqueue.Queue{Capacity: 10 * megabit}
		Expect(q.Arrive(request, start).Verdict).To(Equal(linkqueue.Send))
		q.AddResponse(4_000_000, start)
		Expect(q.Arrive(linkqueue.Request{Bytes: 1_000, Deadline: start.Add(time.Minute)}, start).Verdict).To(Equal(linkqueue.Wait))
		Expect(q.Take(start.Add(990 * time.Millisecond))).To(BeNil())
		Expect(q.Take(start.Add(time.Second))).NotTo(BeNil())
	})

	// Guards against responses that wait behind the bodies of requests.
	It("keeps a third of the link free for responses while bodies fill the rest", func() {
		q := &linkqueue.Queue{Capacity: 10 * megabit}
		longest := time.Duration(0)
		for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(time.Millisecond) {
			longest = max(longest, q.Delay(now))
			q.AddResponse(417, now) // a third of 1,250 bytes a millisecond
			q.Arrive(linkqueue.Request{Rank: 2, Bytes: 12_000, Deadline: now.Add(4 * time.Second)}, now)
			for q.Take(now) != nil {
				continue
			}
		}
		Expect(longest).To(BeNumerically("<=", 60*time.Millisecond))
	})
})
