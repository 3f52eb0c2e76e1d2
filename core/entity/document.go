package entity

// Document is a value in the platform's table service.
type Document interface{ document() }

// BudgetRow holds the cumulative counters of one prepaid budget, in tokens.
// Drawn-Returned never exceeds Prepaid.
type BudgetRow struct {
	Prepaid  int64
	Drawn    int64
	Returned int64
	Holders  []string // incarnations with an open grant
}

// Left returns the tokens that may still be drawn.
func (b BudgetRow) Left() int64 { return b.Prepaid - b.Drawn + b.Returned }

// GrantRow holds what one incarnation drew, spent and returned, in tokens.
type GrantRow struct {
	Budget   string
	Drawn    int64
	Spent    int64
	Returned int64
	Sequence int64 // newest charge of the holder that is in the ledger
}

// Unspent returns the tokens that are neither spent nor returned.
func (g GrantRow) Unspent() int64 { return g.Drawn - g.Spent - g.Returned }

// VMRow fences one VM's writes: each of its transactions checks the row's
// version and increments Sequence.
type VMRow struct {
	Name        string
	Incarnation string
	Sequence    int64
	Address     string
	Domain      string
	Unrecovered []string // earlier incarnations whose grants are still open
	Closed      bool
}

// LedgerRow is one packed batch of charges.
type LedgerRow struct{ Charges []Charge }

// ClaimRow gives one incarnation the sole right to run a non-idempotent
// request, and later holds its answer.
type ClaimRow struct {
	Holder      string
	Token       string
	Done        bool
	Status      int
	ContentType string
	Body        []byte
	Fingerprint string
}

// ConfigHead holds the version of the newest configuration change.
type ConfigHead struct{ Version int64 }

// Absent marks a row to delete.
type Absent struct{}

func (BudgetRow) document()  {}
func (GrantRow) document()   {}
func (VMRow) document()      {}
func (LedgerRow) document()  {}
func (ClaimRow) document()   {}
func (ConfigHead) document() {}
func (Change) document()     {}
func (Absent) document()     {}

// Row is a document with its key and version; version 0 means absent.
type Row struct {
	Key      string
	Version  int64
	Document Document
}

// Check is a condition of a transaction: the row of Key has Version.
type Check struct {
	Key     string
	Version int64
}

// Put is a write of a transaction.
type Put struct {
	Key      string
	Document Document
}
