package query

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/entity"
	"hawthornspar/io/operator"
)

// fakeFleet is a Fleet with fixed state.
type fakeFleet struct{}

func (fakeFleet) Report() (operator.FleetReport, error) {
	return operator.FleetReport{Missing: []string{"r3"}, VMs: []entity.Report{
		{VM: "r1", Requests: []entity.RequestReport{
			{Account: "a", Rank: "urgent", Phase: "queued", AgeMillis: 30},
			{Account: "b", Rank: "bulk", Phase: "running", AgeMillis: 900},
		}},
		{VM: "r2", Requests: []entity.RequestReport{{Account: "a", Rank: "urgent", Phase: "running", AgeMillis: 5}}},
	}}, nil
}

func (fakeFleet) Budgets(string) ([]operator.BudgetTotal, error) {
	return []operator.BudgetTotal{{Budget: "a/main", Prepaid: 100, Left: 9}, {Budget: "b/main", Prepaid: 50, Left: 50}}, nil
}

var _ = Describe("queries", func() {
	for _, c := range []struct {
		text string
		want []string // values of the third column
	}{
		{"requests", []string{"", "", ""}},
		{"budgets", []string{"100", "50"}},
		{"budgets where left < 10", []string{"100"}},
		{"budgets where account != a", []string{"50"}},
		{"budgets where budget ~ main order by prepaid limit 1", []string{"50"}},
		{"budgets order by left desc", []string{"50", "100"}},
		{`budgets where account = "b" and left >= 50`, []string{"50"}},
	} {
		It("answers "+c.text, func() {
			q, err := Parse(c.text)
			Expect(err).NotTo(HaveOccurred())
			selected, _, err := Run(fakeFleet{}, q)
			Expect(err).NotTo(HaveOccurred())
			var got []string
			for _, row := range selected.Rows {
				got = append(got, row[2].String())
			}
			Expect(got).To(Equal(c.want))
		})
	}

	It("names the VMs that did not respond", func() {
		q, err := Parse("requests where rank = urgent and phase = running")
		Expect(err).NotTo(HaveOccurred())
		selected, missing, err := Run(fakeFleet{}, q)
		Expect(err).NotTo(HaveOccurred())
		Expect(selected.Rows).To(HaveLen(1))
		Expect(missing).To(Equal([]string{"r3"}))
	})

	for _, c := range []struct {
		text   string
		column int
	}{
		{"", 1},
		{"nothing", 1},
		{"budgets where", 14},
		{"budgets where left ?? 3", 20},
		{"budgets order left", 15},
	} {
		It("reports the column of the error in "+c.text, func() {
			_, err := Parse(c.text)
			var syntaxError *SyntaxError
			Expect(err).To(BeAssignableToTypeOf(syntaxError))
			Expect(err.(*SyntaxError).Column).To(Equal(c.column))
		})
	}

	It("reports a column that the relation does not have", func() {
		q, err := Parse("budgets where colour = red")
		Expect(err).NotTo(HaveOccurred())
		_, _, err = Run(fakeFleet{}, q)
		Expect(err).To(Equal(&SyntaxError{Column: 15, Problem: "no column colour; there are account, budget, prepaid, left, held, holders"}))
	})

	It("parses commands", func() {
		c, err := ParseCommand("topUp kandyan/main 500")
		Expect(err).NotTo(HaveOccurred())
		Expect(*c.TopUp).To(Equal(TopUpCommand{Budget: "kandyan/main", Tokens: 500}))
		_, err = ParseCommand("topUp kandyan/main lots")
		Expect(err).To(HaveOccurred())
	})
})
