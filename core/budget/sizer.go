package budget

import (
	"hawthornspar/core/entity"
	"hawthornspar/core/world"
)

// RateSizer draws the tokens that the recent spending rate uses within the
// policy's horizon, with a minimum per draw, but no more than a share of the
// tokens left unless a request needs more. Draws thus shrink as the budget runs
// out.
type RateSizer struct{}

// Size implements Sizer.
func (RateSizer) Size(w *world.World, g *entity.Grant, need, remaining int64) int64 {
	wanted := int64(g.SpendRateNow(w.Now) * w.Policy.GrantHorizon.Seconds())
	wanted = max(wanted-max(g.Free(), 0), w.Policy.MinDrawTarget)
	share := int64(float64(remaining) * w.Policy.MaxDrawShare)
	return min(max(need, min(wanted, share)), remaining)
}

// EqualSizer draws 1/Parts of the prepaid budget each time. It is a baseline for
// comparisons.
type EqualSizer struct{ Parts int64 }

// Size implements Sizer.
func (s EqualSizer) Size(_ *world.World, g *entity.Grant, need, remaining int64) int64 {
	return min(max(need, g.BudgetRow.Prepaid/s.Parts), remaining)
}
