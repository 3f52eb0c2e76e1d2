package notrun

import (
	"errors"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "notrun")
}

var _ = Describe("A response", func() {
	sent := Attempt{RequestID: "r1", EndpointID: "e1"}
	for _, t := range []struct {
		name     string
		response Response
		want     Fact
	}{
		{"a rejection with the mark and the id", Response{Status: 503, RequestID: "r1", NotRun: true}, Rejected},
		{"a 400 with the mark and the id", Response{Status: 400, RequestID: "r1", NotRun: true}, Rejected},
		{"a 421 of another endpoint without the mark", Response{Status: 421, EndpointID: "e2"}, Misdirected},
		{"a 421 of another endpoint with mark and id", Response{Status: 421, RequestID: "r1", EndpointID: "e2", NotRun: true}, Misdirected},
		{"a 421 of the same endpoint with mark and id", Response{Status: 421, RequestID: "r1", EndpointID: "e1", NotRun: true}, Rejected},
		{"a 421 of the same endpoint", Response{Status: 421, RequestID: "r1", EndpointID: "e1"}, ""},
		{"a 421 that names no endpoint", Response{Status: 421, RequestID: "r1"}, ""},
		{"a sealed rejection", Response{Status: 503, RequestID: "r1", NotRun: true, Sealed: true}, ""},
		{"a sealed 421 of another endpoint", Response{Status: 421, RequestID: "r1", EndpointID: "e2", NotRun: true, Sealed: true}, ""},
		{"a success with the mark", Response{Status: 200, RequestID: "r1", NotRun: true}, ""},
		{"a rejection without an id", Response{Status: 503, NotRun: true}, ""},
		{"a rejection of another request", Response{Status: 503, RequestID: "r0", NotRun: true}, ""},
		{"a 421 of another endpoint to another request", Response{Status: 421, RequestID: "r0", EndpointID: "e2"}, ""},
		{"a 408", Response{Status: 408, RequestID: "r1"}, ""},
		{"a 429", Response{Status: 429, RequestID: "r1"}, ""},
		{"a 503", Response{Status: 503, RequestID: "r1"}, ""},
	} {
		// Guards against a status that is a proof by itself.
		It("is a proof only by what it says of the request: "+t.name, func() {
			Expect(FromResponse(sent, t.response).Fact()).To(Equal(t.want))
		})
	}
})

var _ = Describe("A response to a request without an id", func() {
	It("is no proof by the mark", func() {
		Expect(FromResponse(Attempt{EndpointID: "e1"}, Response{Status: 503, NotRun: true}).Holds()).To(BeFalse())
	})
})

var _ = Describe("A record", func() {
	It("states that a request has not run while each attempt is withdrawn with a proof", func() {
		var r Record
		Expect(r.Statement().NotRun()).To(BeTrue())
		r.Begin(1)
		r.Begin(2)
		r.Withdraw(1, Proof{})
		Expect(r.PossibleRuns()).To(Equal(2))
		r.Withdraw(1, FromError(&UnwrittenError{}))
		Expect(r.PossibleRuns()).To(Equal(1))
		Expect(r.Statement().NotRun()).To(BeFalse())
		r.Withdraw(2, FromClaim(0))
		Expect(r.Statement().NotRun()).To(BeTrue())
	})

	It("takes no other error, claim or fingerprint for a proof, and states nothing by default", func() {
		Expect(FromError(errors.New("reset")).Holds()).To(BeFalse())
		Expect(FromClaim(3).Holds()).To(BeFalse())
		Expect(FromFingerprints("a", "a").Holds()).To(BeFalse())
		Expect(FromFingerprints("a", "b").Holds()).To(BeTrue())
		Expect(Statement{}.NotRun()).To(BeFalse())
	})
})
