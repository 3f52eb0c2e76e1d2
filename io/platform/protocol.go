// Package platform is a client of the platform's table service, object store and
// list of VMs, and defines their JSON messages.
package platform

// Check is a condition of a transaction: the row of Key has Version, or is absent
// if Version is 0.
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put writes a row, or deletes it when Value is null.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Transaction writes all rows of Puts atomically, provided that every check holds.
type Transaction struct {
	Checks []Check `json:"checks"`
	Puts   []Put   `json:"puts"`
}

// Commit is the response to a transaction that took effect. Version is the new
// version of every row that it wrote.
type Commit struct {
	Version int64 `json:"version"`
}

// Row is a row of the table service. Version 0 means that the row is absent.
type Row struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}

// ReadRequest names the rows to read by key and by prefix of the key.
type ReadRequest struct {
	Keys     []string `json:"keys"`
	Prefixes []string `json:"prefixes"`
}

// Rows is the response to a read, or to a transaction with a failed check. A read
// lists the rows of Keys first and in that order, then those of Prefixes in key
// order.
type Rows struct {
	Rows []Row `json:"rows"`
}

// VM is an entry of the list of VMs.
type VM struct {
	Name         string `json:"name"`
	Address      string `json:"address"`
	Domain       string `json:"domain"`
	ShuttingDown bool   `json:"leaving"`
}

// VMs is the response to a request for the list of VMs.
type VMs struct {
	VMs []VM `json:"vms"`
}

// URL paths of the platform's services.
const (
	PathTransact = "/table/transact"
	PathRead     = "/table/read"
	PathObjects  = "/objects/"
	PathVMs      = "/vms"
)
