package escrow

import (
	"math"
	"time"
)

type account struct {
	prepaid  int64
	limited  bool
	granted  int64
	spent    int64
	lent     int64
	reserved int64
	bounds   []bound
	total    int64   // drawn by all VMs, as last read
	unknown  int64   // drawn tokens that dead VMs may have spent
	version  int64   // of the total's row; -1 when it has not been read
	rate     float64 // tokens asked for in a second
	rated    time.Time
	recent   int64 // tokens asked for since rated
	waiting  int64 // tokens of the requests that wait for them
	others   others
}

// others is what the holdings of the other VMs say of an account.
type others struct {
	free int64
	rate float64
}

// bound is what one written holding allows.
type bound struct {
	sequence int64
	at       time.Time
	held     Held
}

func (a *account) committed() int64 { return a.spent + a.lent + a.reserved }

// free returns the tokens that may be reserved now.
func (a *account) free(now time.Time) int64 {
	limit := a.granted
	for _, b := range a.bounds {
		limit = min(limit, b.held.allowed(now.Sub(b.at)))
	}
	return limit - a.committed()
}

// allowedIn returns the time until tokens may be reserved if the store stays out of
// reach; false when they are not held.
func (a *account) allowedIn(tokens int64, now time.Time) (time.Duration, bool) {
	need := a.committed() + tokens
	if need > a.granted {
		return 0, false
	}
	longest := time.Duration(0)
	for _, b := range a.bounds {
		longest = max(longest, b.at.Add(b.held.until(need)).Sub(now))
	}
	return longest, true
}

// renew tells whether little is left of what may be spent before the next write.
func (a *account) renew() bool {
	for _, b := range a.bounds {
		used := a.committed() - b.held.Committed
		if b.held.Burst > 0 && float64(used) > (1-renewBelow)*float64(b.held.Burst) && a.granted > a.committed() {
			return true
		}
	}
	return false
}

// measure updates the rate of spending.
func (a *account) measure(now time.Time) {
	if a.rated.IsZero() {
		a.rated = now
		return
	}
	passed := now.Sub(a.rated)
	if passed <= 0 {
		return
	}
	weight := 1 - math.Exp(-passed.Seconds()/rateSpan.Seconds())
	a.rate = max(a.rate+weight*(float64(a.recent)/passed.Seconds()-a.rate), 0)
	a.recent = 0
	a.rated = now
}

// lacks returns the tokens that waiting requests lack.
func (a *account) lacks(now time.Time) int64 {
	if a.waiting == 0 {
		return 0
	}
	return max(a.waiting-a.free(now), 0)
}
