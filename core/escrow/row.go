// Package escrow keeps every client account's spending within its prepaid
// budget over all VMs. The store holds one total for each account, with the
// tokens that VMs have drawn, and one holding for each VM. A VM spends only
// what it has drawn, so neither outages nor cuts can overspend.
//
// A holding also bounds how fast its VM may spend. When a VM starts again it
// takes back what its predecessor of the same name cannot have spent since it
// last wrote its holding.
package escrow

// Total is the row of a client account.
type Total struct {
	Drawn int64 `json:"drawn"` // tokens drawn by VMs, less those returned
}

// Holding is the row of a VM.
type Holding struct {
	Incarnation string          `json:"incarnation"`
	Sequence    int64           `json:"sequence"` // of the VM's writes
	StoreMs     int64           `json:"storeMs"`  // the store's clock when it was written, or earlier
	Accounts    map[string]Held `json:"accounts"`
}

// Held is a VM's part of one account's budget.
type Held struct {
	Granted   int64 `json:"granted"`   // tokens drawn, less those returned
	Spent     int64 `json:"spent"`     // tokens of ended requests
	Committed int64 `json:"committed"` // spent, and reserved by running requests
	Burst     int64 `json:"burst"`     // tokens that may be committed beyond at any time
	PerSecond int64 `json:"perSecond"` // and for each second since
}

// atMost returns the most tokens that the VM can have committed when the
// store's clock shows storeMs.
func (h Holding) atMost(account string, storeMs int64) int64 {
	held := h.Accounts[account]
	passed := max(storeMs-h.StoreMs, 0)
	bound := held.Committed + held.Burst + held.PerSecond*(passed+999)/1000
	return min(held.Granted, bound)
}

// unspent returns the tokens that the VM, known to be dead, cannot have used.
func (h Holding) unspent(account string, storeMs int64) int64 {
	return h.Accounts[account].Granted - h.atMost(account, storeMs)
}
