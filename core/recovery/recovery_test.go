package recovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/entity"
	"hawthornspar/core/world"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "recovery")
}

// fakeRegistration is the row of a VM that has an incarnation to recover.
type fakeRegistration struct{ row entity.VMRow }

func (f *fakeRegistration) Registered() bool  { return true }
func (f *fakeRegistration) Row() entity.VMRow { return f.row }

// noCopies stores no charges.
type noCopies struct{}

func (noCopies) Freeze(string) []entity.Charge { return nil }
func (noCopies) Drop(string)                   {}

// recoveryOf returns a VM that is about to return the grants of the incarnation
// failed.1, each with one charge that is not in the ledger.
func recoveryOf(incarnation string, budgets ...string) (*System, *world.World) {
	w := &world.World{Now: time.Unix(100, 0), Policy: world.DefaultPolicy(), TableReachable: true, Self: entity.VM{Name: "r1", Incarnation: incarnation}}
	s := New(noCopies{})
	s.Bind(&fakeRegistration{entity.VMRow{Name: "r1", UnrecoveredIncarnations: []string{"failed.1"}}})
	s.job = &job{incarnation: "failed.1", stage: stageWriting}
	for _, b := range budgets {
		s.job.grants = append(s.job.grants, entity.GrantRow{Budget: b, Drawn: 100})
		c := entity.Charge{Budget: b, RequestKey: "k", Tokens: 7, Origin: "failed.1", Sequence: 1}
		s.job.charges.Put(c.ID(), c)
		s.job.budgets.Put(entity.BudgetKey(b), entity.Row{Version: 3, Document: entity.BudgetRow{Prepaid: 1000, Drawn: 100, Holders: []string{"failed.1"}}})
	}
	return s, w
}

// ledgerKeys returns the keys of the ledger rows that the system writes next.
func ledgerKeys(s *System, w *world.World) (keys []string) {
	_, puts := s.Compose(w)
	for _, p := range puts {
		if strings.HasPrefix(p.Key, entity.LedgerPrefix) {
			keys = append(keys, p.Key)
		}
	}
	return keys
}

var _ = Describe("A recovery that a VM leaves unfinished", func() {
	// Guards against charges that vanish from the ledger, as the VM that goes on with the
	// recovery writes its own in their place.
	It("goes on under other keys of the ledger, at another incarnation", func() {
		first, w1 := recoveryOf("r1.1", "a/main")
		second, w2 := recoveryOf("r1.2", "b/main")
		Expect(ledgerKeys(first, w1)).To(HaveLen(1))
		Expect(ledgerKeys(first, w1)).NotTo(ContainElement(ledgerKeys(second, w2)[0]))
	})

	It("goes on under other keys of the ledger, at the same incarnation", func() {
		s, w := recoveryOf("r1.1", "a/main")
		keys := ledgerKeys(s, w)
		s.Committed(w, 4)
		again, _ := recoveryOf("r1.1", "b/main")
		s.job = again.job
		Expect(ledgerKeys(s, w)).To(HaveLen(1))
		Expect(ledgerKeys(s, w)).NotTo(Equal(keys))
	})

	It("keeps the key of a transaction that is sent again", func() {
		s, w := recoveryOf("r1.1", "a/main")
		Expect(ledgerKeys(s, w)).To(Equal(ledgerKeys(s, w)))
		Expect(fmt.Sprint(ledgerKeys(s, w))).To(ContainSubstring("failed.1"))
	})
})
