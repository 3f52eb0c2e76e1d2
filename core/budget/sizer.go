package budget

import (
	"hawthornspar/core/entity"
	"hawthornspar/core/world"
)

// RateSizer draws what the recent rate spends within the policy's horizon,
// but no more than a share of what is left, so that draws shrink as the
// budget runs out.
type RateSizer struct{}

// Size implements Sizer.
func (RateSizer) Size(w *world.World, g *entity.Grant, need, left int64) int64 {
	wanted := int64(g.RateNow(w.Now) * w.Policy.GrantHorizon.Seconds())
	wanted = max(wanted-max(g.Free(), 0), w.Policy.GrantFloor)
	share := int64(float64(left) * w.Policy.GrantShare)
	return min(max(need, min(wanted, share)), left)
}

// EqualSizer draws the same part of the prepaid budget each time. It serves
// as a baseline.
type EqualSizer struct{ Parts int64 }

// Size implements Sizer.
func (s EqualSizer) Size(_ *world.World, g *entity.Grant, need, left int64) int64 {
	return min(max(need, g.Row.Prepaid/s.Parts), left)
}
