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
	PerSecond int64 `json:"perSecond"` // and for each second since, at first
	Later     int64 `json:"later"`     // and for each second after slowSpan
	Rate      int64 `json:"rate"`      // tokens that requests ask for in a second
}

// free returns the tokens that are neither spent nor reserved.
func (h Held) free() int64 { return max(h.Granted-h.Committed, 0) }

// slowSpan is how long a VM may go on only a little faster than before. A dead
// VM mostly starts again within it, so little stays unaccounted for; in an
// outage of the store the speed rises after it.
const slowSpan = 2 * time.Second

// allowed returns the most tokens that the VM may have committed a while after
// it wrote the holding.
func (h Held) allowed(passed time.Duration) int64 {
	slow := min(passed, slowSpan).Milliseconds()
	fast := max(passed-slowSpan, 0).Milliseconds()
	return h.Committed + h.Burst + (h.PerSecond*slow+h.Later*fast)/1000
}

// atMost returns the most tokens that the VM can have committed when the
// store's clock shows storeMs.
func (h Holding) atMost(account string, storeMs int64) int64 {
	held := h.Accounts[account]
	passed := time.Duration(max(storeMs-h.StoreMs, 0)+1) * time.Millisecond
	return min(held.Granted, held.allowed(passed))
}

// doubtful returns the tokens that stay drawn after unspent ones are taken
// back, and that the VM is not known to have spent.
func (h Holding) doubtful(account string, storeMs int64) int64 {
	held := h.Accounts[account]
	return max(h.atMost(account, storeMs)-held.Spent-held.Lent, 0)
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
