package caller

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Session", func() {
	It("ignores late events of an earlier attempt", func() {
		s := newSession(1, "model")
		s.BeginAttempt(1)
		Expect(s.AddEvent(1, []byte("a"), "a")).To(BeTrue())
		s.BeginAttempt(2)
		Expect(s.AddEvent(1, []byte("b"), "b")).To(BeFalse())
		Expect(s.AddEvent(2, []byte("c"), "c")).To(BeTrue())
		events, _, _, _ := s.eventsFrom(0, 0)
		Expect(events).To(HaveLen(1))
		Expect(events[0].text).To(Equal("c"))
	})

	It("accepts no further attempt once a caller was sent an event", func() {
		s := newSession(1, "model")
		s.BeginAttempt(1)
		s.AddEvent(1, []byte("a"), "a")
		_, _, _, generation := s.eventsFrom(0, 0)
		Expect(s.markDelivered(1, generation)).To(BeTrue())
		s.BeginAttempt(2)
		Expect(s.AddEvent(2, []byte("b"), "b")).To(BeFalse())
	})

	It("does not mark events as delivered after they were discarded", func() {
		s := newSession(1, "model")
		s.BeginAttempt(1)
		s.AddEvent(1, []byte("a"), "a")
		_, _, _, generation := s.eventsFrom(0, 0)
		s.BeginAttempt(2)
		Expect(s.markDelivered(1, generation)).To(BeFalse())
	})
})

var _ = Describe("validIdempotencyKey", func() {
	for _, t := range []struct {
		name, key string
		valid     bool
	}{
		{"a usual key", "lookup-7", true},
		{"letters of other scripts", "zamówienie-7", true},
		{"bytes that are not UTF-8", "lookup-\xff\xfe", false},
		{"a slash", "lookup/7", false},
		{"more than 200 bytes", strings.Repeat("x", 201), false},
	} {
		It("is right for "+t.name, func() { Expect(validIdempotencyKey(t.key)).To(Equal(t.valid)) })
	}
})
