package entity

import (
	"math"
	"time"
)

// Grant holds the tokens that this incarnation has drawn from one budget, and
// the state of drawing more.
type Grant struct {
	Budget           string
	Drawn            int64
	Spent            int64
	Flushed          int64 // part of Spent that is in the ledger
	Reserved         int64 // sum of the reservations of open requests
	Returned         int64
	Drawing          int64     // tokens that the transaction in flight draws
	Returning        int64     // tokens that the transaction in flight returns
	WantDraw         int64     // tokens to draw from the table
	WantReturn       int64     // tokens to return to the table
	Urgent           bool      // a request or a peer waits for WantDraw or WantReturn
	BudgetRow        BudgetRow // budget as last read or written
	BudgetVersion    int64     // version of BudgetRow
	ReadAt           time.Time // when BudgetRow was last read or written
	Reading          bool      // a read of the budget's row is in progress
	SpendRate        float64   // tokens spent per second at SpendRateAt, with exponential decay
	SpendRateAt      time.Time
	UsedAt           time.Time  // last reservation or spending
	Waiting          []*Request // requests that wait for tokens
	Recall           Recall
	ShortfallAt      time.Time // start of the shortfall for the waiting requests, or end of the last recall round
	ReturnRequesters []VM      // peers that wait for the return of WantReturn
}

// Recall is the state of asking other holders of a budget, in rounds, to return
// free tokens.
type Recall struct {
	Active     bool // a round is in progress
	Started    time.Time
	Ended      time.Time
	Rounds     int      // completed rounds
	Pending    []string // names of VMs that have yet to respond in this round
	Offers     []Offer  // free tokens that VMs reported in this round
	Reserved   int64    // tokens reserved for open requests of other VMs
	Returned   int64    // tokens that other VMs returned in this round
	Incomplete bool     // a holder is unreachable or did not respond
}

// Offer is the number of free tokens that a peer reported.
type Offer struct {
	From VM
	Free int64
}

// Free returns the tokens that can be reserved.
func (g *Grant) Free() int64 {
	return g.Drawn - g.Returned - g.Returning - g.Spent - g.Reserved
}

// HasUnspent reports whether the grant has tokens that are neither spent nor
// returned.
func (g *Grant) HasUnspent() bool { return g.Drawn-g.Returned-g.Spent > 0 }

// Deletable reports whether the grant can be deleted: the table has all of its
// state, and no request, peer or transaction waits for it.
func (g *Grant) Deletable() bool {
	pending := g.Drawing != 0 || g.Returning != 0 || g.Reading || len(g.ReturnRequesters) > 0
	return !pending && !g.HasUnspent() && g.Reserved == 0 && len(g.Waiting) == 0 && g.Flushed == g.Spent
}

// Spend adds tokens to Spent and updates the spending rate.
func (g *Grant) Spend(tokens int64, now time.Time) {
	g.Spent += tokens
	g.UsedAt = now
	if g.SpendRateAt.IsZero() {
		g.SpendRateAt = now
	}
	elapsed := now.Sub(g.SpendRateAt).Seconds()
	g.SpendRateAt = now
	decay := math.Exp(-elapsed / rateTimeConstantSeconds)
	g.SpendRate = g.SpendRate*decay + float64(tokens)/rateTimeConstantSeconds
}

// SpendRateNow returns the spending rate decayed to now, in tokens per second.
func (g *Grant) SpendRateNow(now time.Time) float64 {
	if g.SpendRateAt.IsZero() {
		return 0
	}
	return g.SpendRate * math.Exp(-now.Sub(g.SpendRateAt).Seconds()/rateTimeConstantSeconds)
}

// rateTimeConstantSeconds is the time in which the spending rate decays to 1/e.
const rateTimeConstantSeconds = 30.0
