package entity

// Document is the value of a row in the platform's table service.
type Document interface{ document() }

// BudgetRow holds the cumulative counters of one prepaid budget, in tokens.
// Drawn-Returned never exceeds Prepaid.
type BudgetRow struct {
	Prepaid  int64
	Drawn    int64
	Returned int64
	Holders  []string // incarnations with unspent tokens after their last draw or return
}

// Remaining returns the tokens that can still be drawn from the budget.
func (b BudgetRow) Remaining() int64 { return b.Prepaid - b.Drawn + b.Returned }

// GrantRow holds the tokens that one incarnation has drawn from a budget, spent
// and returned.
type GrantRow struct {
	Budget   string
	Drawn    int64
	Spent    int64
	Returned int64
	Sequence int64 // sequence number of the incarnation's newest charge in the ledger
}

// Unspent returns the tokens that are neither spent nor returned.
func (g GrantRow) Unspent() int64 { return g.Drawn - g.Spent - g.Returned }

// VMRow registers one VM and fences its writes: each transaction of the VM
// checks the version of the row and increments Sequence, so that an incarnation
// that was replaced can no longer write.
type VMRow struct {
	Name                    string
	Incarnation             string
	Sequence                int64
	Address                 string
	Domain                  string
	UnrecoveredIncarnations []string // ended incarnations whose grants this VM has yet to return
	Closed                  bool     // the VM shut down, or another VM took over its recovery
}

// LedgerRow is one batch of charges.
type LedgerRow struct{ Charges []Charge }

// ClaimRow gives one incarnation the exclusive right to run a non-idempotent
// request. Once the request is done, the row holds its response.
type ClaimRow struct {
	Holder      string // incarnation
	Token       string // identifies the request that inserted the row
	Done        bool
	Status      int // 0 when the outcome is unknown
	ContentType string
	Body        []byte
	Fingerprint string
}

// ConfigHead holds the version of the latest configuration change.
type ConfigHead struct{ Version int64 }

// Tombstone is the document of a Put that deletes the row.
type Tombstone struct{}

func (BudgetRow) document()  {}
func (GrantRow) document()   {}
func (VMRow) document()      {}
func (LedgerRow) document()  {}
func (ClaimRow) document()   {}
func (ConfigHead) document() {}
func (Change) document()     {}
func (Tombstone) document()  {}

// Row is a document with its key and version. Version 0 means that the row does
// not exist.
type Row struct {
	Key      string
	Version  int64
	Document Document
}

// Check is a precondition of a transaction: the row of Key has Version.
type Check struct {
	Key     string
	Version int64
}

// Put is a write in a transaction.
type Put struct {
	Key      string
	Document Document
}
