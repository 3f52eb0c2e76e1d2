package caller

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Session", func() {
	It("drops late frames of an earlier attempt", func() {
		s := newSession(1, "model")
		s.Begin(1)
		Expect(s.Frame(1, []byte("a"), "a")).To(BeTrue())
		s.Begin(2)
		Expect(s.Frame(1, []byte("b"), "b")).To(BeFalse())
		Expect(s.Frame(2, []byte("c"), "c")).To(BeTrue())
		frames, _, _, _ := s.next(0, 0)
		Expect(frames).To(HaveLen(1))
		Expect(frames[0].text).To(Equal("c"))
	})

	It("never starts anew once a caller was sent a part", func() {
		s := newSession(1, "model")
		s.Begin(1)
		s.Frame(1, []byte("a"), "a")
		_, _, _, round := s.next(0, 0)
		Expect(s.claim(1, round)).To(BeTrue())
		s.Begin(2)
		Expect(s.Frame(2, []byte("b"), "b")).To(BeFalse())
	})

	It("refuses a claim of frames that were dropped meanwhile", func() {
		s := newSession(1, "model")
		s.Begin(1)
		s.Frame(1, []byte("a"), "a")
		_, _, _, round := s.next(0, 0)
		s.Begin(2)
		Expect(s.claim(1, round)).To(BeFalse())
	})
})
