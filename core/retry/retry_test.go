package retry

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/notrun"
	"hawthornspar/core/world"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

var _ = Describe("A request whose endpoint had no capacity", func() {
	proof := notrun.FromResponse(notrun.Attempt{RequestID: "a"}, notrun.Response{Status: 429, RequestID: "a", NotRun: true})
	for _, t := range []struct {
		name       string
		idempotent bool
		proof      notrun.Proof
		response   entity.AppResponse
		want       entity.Phase
		possible   bool
	}{
		{"a non-idempotent one with a proof", false, proof, entity.AppResponse{}, entity.PhaseQueued, false},
		{"a non-idempotent one without, that has a response", false, notrun.Proof{}, entity.AppResponse{Status: 429}, entity.PhaseSettling, true},
		{"a non-idempotent one without either", false, notrun.Proof{}, entity.AppResponse{}, entity.PhaseClosed, true},
		{"an idempotent one without a proof", true, notrun.Proof{}, entity.AppResponse{Status: 429}, entity.PhaseQueued, true},
	} {
		// Guards against an order that is sent again without the proof that it has not run.
		It("is queued again only if it may run once more: "+t.name, func() {
			w := &world.World{Policy: world.DefaultPolicy(), Now: time.Unix(1_000, 0)}
			r := &entity.Request{Submission: entity.Submission{ID: 1}, Idempotent: t.idempotent, Kind: entity.KindApp, Attempt: 1, Phase: entity.PhaseRunning}
			r.MarkPossiblyRun()
			w.Requests.Put(r.ID, r)
			New(nil).Handle(w, inbox.AttemptEnded{Request: 1, Attempt: 1, Outcome: inbox.OutcomeFull, Proof: t.proof, Response: t.response})
			Expect(r.Phase).To(Equal(t.want))
			Expect(r.PossiblyRun()).To(Equal(t.possible))
		})
	}
})
