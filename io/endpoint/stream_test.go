package endpoint

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
)

var _ = Describe("A stream of an engine", func() {
	const word = `data: {"choices":[{"delta":{"content":"word"}}]}` + "\n\n"
	for _, c := range []struct {
		name, text string
		complete   bool
	}{
		{"ends with its marker", word + "data: [DONE]\n\n", true},
		{"ends without its marker", word, false},
		{"names no error", `data: {"error":null,"choices":[{"delta":{"content":"word"}}]}` + "\n\ndata: [DONE]\n\n", true},
		{"has an error in place of text", word + `data: {"error":{"message":"out of memory"}}` + "\n\ndata: [DONE]\n\n", false},
		{"has an error beside text", `data: {"error":"x","choices":[{"delta":{"content":"word"}}]}` + "\n\ndata: [DONE]\n\n", false},
		{"has text that is no event", word + "data: 500 Internal Server Error\n\ndata: [DONE]\n\n", false},
	} {
		// Guards against an error's text within a response, or a response that looks
		// complete after an error.
		It("is complete only without an error: "+c.name, func() {
			a := &attempt{client: &Client{post: func(inbox.Event) {}}, exchange: &testExchange{}, command: outbox.StartAttempt{Attempt: 1}}
			timeout := time.NewTimer(time.Hour)
			defer timeout.Stop()
			Expect(a.readEvents(strings.NewReader(c.text), timeout)).To(Equal(c.complete))
		})
	}

	// Guards against a VM whose memory is filled by an engine that sends events without text
	// and without end.
	It("ends as incomplete after too many events without text", func() {
		a := &attempt{client: &Client{post: func(inbox.Event) {}}, exchange: &testExchange{}, command: outbox.StartAttempt{Attempt: 1}}
		timeout := time.NewTimer(time.Hour)
		defer timeout.Stop()
		const many = 100_000
		Expect(a.readEvents(strings.NewReader(strings.Repeat("data: {}\n\n", many)+"data: [DONE]\n\n"), timeout)).To(BeFalse())
		Expect(len(a.finalEvents)).To(BeNumerically("<", many/1000))
	})
})
