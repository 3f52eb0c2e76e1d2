package entity

import (
	"math"
	"time"
)

// Grant is this incarnation's part of one budget, in tokens.
type Grant struct {
	Budget    string
	Drawn     int64
	Spent     int64
	Flushed   int64 // part of Spent that is in the ledger
	Reserved  int64
	Returned  int64
	Drawing   int64 // in the transaction under way
	Returning int64 // in the transaction under way
	WantDraw  int64
	WantBack  int64 // tokens to return to the table
	Urgent    bool  // a request or a peer waits for WantDraw or WantBack
	Row       BudgetRow
	Version   int64
	ReadAt    time.Time // when Row was last read or written
	Reading   bool
	Rate      float64 // tokens spent a second, smoothed
	RateAt    time.Time
	UsedAt    time.Time
	Waiting   []*Request
	Recall    Recall
	ShortAt   time.Time // since when the table lacked tokens for a waiting request
	AskedBy   []VM      // peers that wait for WantBack to be returned
}

// Recall is the asking of other holders for idle tokens, in rounds.
type Recall struct {
	Active   bool
	Started  time.Time
	Ended    time.Time
	Rounds   int
	Pending  []string // VMs that have not answered this round
	Offers   []Offer  // free tokens by VM, this round
	Reserved int64    // tokens reserved by others' open requests
	Returned int64    // tokens that came back in this round
	Missing  bool     // a holder did not answer in this round
}

// Offer is what a peer says it has free, in tokens.
type Offer struct {
	From VM
	Free int64
}

// Free returns the tokens that may be reserved.
func (g *Grant) Free() int64 {
	return g.Drawn - g.Returned - g.Returning - g.Spent - g.Reserved
}

// Open tells whether the grant holds anything.
func (g *Grant) Open() bool { return g.Drawn-g.Returned-g.Spent > 0 }

// Settled tells whether the record holds nothing that the table lacks.
func (g *Grant) Settled() bool {
	moving := g.Drawing != 0 || g.Returning != 0 || g.Reading || len(g.AskedBy) > 0
	return !moving && !g.Open() && g.Reserved == 0 && len(g.Waiting) == 0 && g.Flushed == g.Spent
}

// Spend settles tokens at a time and keeps the spending rate.
func (g *Grant) Spend(tokens int64, now time.Time) {
	g.Spent += tokens
	g.UsedAt = now
	if g.RateAt.IsZero() {
		g.RateAt = now
	}
	elapsed := now.Sub(g.RateAt).Seconds()
	g.RateAt = now
	decay := math.Exp(-elapsed / rateWindowSeconds)
	g.Rate = g.Rate*decay + float64(tokens)/rateWindowSeconds
}

// RateNow returns the smoothed spending rate in tokens a second.
func (g *Grant) RateNow(now time.Time) float64 {
	if g.RateAt.IsZero() {
		return 0
	}
	return g.Rate * math.Exp(-now.Sub(g.RateAt).Seconds()/rateWindowSeconds)
}

// rateWindowSeconds is the time constant of the spending rate.
const rateWindowSeconds = 30.0
