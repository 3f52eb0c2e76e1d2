// Package escrow keeps every client account's spending within its prepaid
// budget over all VMs. The store holds one total for each account, with the
// tokens that VMs have drawn, and one holding for each VM. A VM spends only
// what it has drawn, so neither outages nor cuts can overspend.
//
// A holding also bounds how fast its VM may spend. When a VM starts again it
// takes back what its predecessor of the same name cannot have spent since it
// last wrote its holding.
package escrow

import "time"

// Total is the row of a client account.
type Total struct {
	Drawn int64 `json:"drawn"` // tokens drawn by VMs, less those returned
	// Unknown are the drawn tokens that dead VMs may or may not have spent.
	Unknown int64 `json:"unknown"`
}

// Holding is the row of a VM.
type Holding struct {
	Incarnation string          `json:"incarnation"`
	Address     string          `json:"address"`  // IP:port at which other VMs ask for tokens
	Sequence    int64           `json:"sequence"` // of the VM's writes
	StoreMs     int64           `json:"storeMs"`  // the store's clock when it was written, or earlier
	Accounts    map[string]Held `json:"accounts"`
}

// Held is a VM's part of one account's budget.
type Held struct {
	Granted   int64 `json:"granted"`   // tokens drawn, less those returned
	Spent     int64 `json:"spent"`     // tokens of ended requests
	Lent      int64 `json:"lent"`      // tokens given to other VMs
	Committed int64 `json:"committed"` // spent, lent, and reserved by running requests
	Burst     int64 `json:"burst"`     // tokens that may be committed beyond at any time
	Later     int64 `json:"later"`     // and from holdSpan on
	PerSecond int64 `json:"perSecond"` // and for each second after it
	Fast      int64 `json:"fast"`      // in place of PerSecond after fastSpan
	Rate      int64 `json:"rate"`      // tokens that requests ask for in a second
}

// free returns the tokens that are neither spent nor reserved.
func (h Held) free() int64 { return max(h.Granted-h.Committed, 0) }

// Spans after a holding was written. A dead VM mostly starts again within the
// first, so that little stays unaccounted for; a VM that lives and cannot reach
// the store may spend more after each.
const (
	// holdSpan is how long only the burst may be spent.
	holdSpan = 2 * time.Second
	// fastSpan is the time after which the VM may spend fast.
	fastSpan = 5 * time.Second
)

// allowed returns the most tokens that the VM may have committed a while after
// it wrote the holding.
func (h Held) allowed(passed time.Duration) int64 {
	most := h.Committed + h.Burst
	if passed < holdSpan {
		return most
	}
	slow := (min(passed, fastSpan) - holdSpan).Milliseconds()
	fast := max(passed-fastSpan, 0).Milliseconds()
	return most + h.Later + (h.PerSecond*slow+h.Fast*fast)/1000
}

// until returns the time after the writing at which need tokens may be
// committed.
func (h Held) until(need int64) time.Duration {
	if need <= h.Committed+h.Burst {
		return 0
	}
	lacks := need - h.allowed(holdSpan)
	if lacks <= 0 {
		return holdSpan
	}
	if need <= h.allowed(fastSpan) {
		return holdSpan + span(lacks, h.PerSecond)
	}
	return fastSpan + span(need-h.allowed(fastSpan), h.Fast)
}

// span returns the time in which tokens accrue, rounded up.
func span(tokens, perSecond int64) time.Duration {
	return time.Duration(tokens*1000/max(perSecond, 1)+1) * time.Millisecond
}

// atMost returns the most tokens that the VM can have committed when the
// store's clock shows storeMs.
func (h Holding) atMost(account string, storeMs int64) int64 {
	held := h.Accounts[account]
	passed := time.Duration(max(storeMs-h.StoreMs, 0)+1) * time.Millisecond
	return min(held.Granted, held.allowed(passed))
}

// doubtful returns the tokens that stay drawn after unspent ones are taken
// back, and that the VM is not known to have spent. What it lent is doubtful
// too, as the answer to the borrower may have been lost.
func (h Holding) doubtful(account string, storeMs int64) int64 {
	held := h.Accounts[account]
	return max(h.atMost(account, storeMs)-held.Spent, 0)
}

// unspent returns the tokens that the VM, known to be dead, cannot have used.
func (h Holding) unspent(account string, storeMs int64) int64 {
	return h.Accounts[account].Granted - h.atMost(account, storeMs)
}

// Snapshot is what the store held at one moment.
type Snapshot struct {
	Totals   map[string]VersionedTotal
	Holdings map[string]VersionedHolding // by VM
}

// VersionedTotal is an account's row.
type VersionedTotal struct {
	Total   Total
	Version int64
}

// VersionedHolding is a VM's row.
type VersionedHolding struct {
	Holding Holding
	Version int64
}

// spendable returns the most tokens of an account that are not known to be
// spent, of what the prepaid budget had when the snapshot was taken.
func (s Snapshot) spendable(account string, prepaid int64) int64 {
	t := s.Totals[account].Total
	left := prepaid - t.Drawn + t.Unknown
	for _, h := range s.Holdings {
		held := h.Holding.Accounts[account]
		left += held.Granted - held.Spent
	}
	return left
}
