// Package platform speaks to the platform's table service, object store and
// list of VMs.
package platform

// Check is a condition of a transaction. Version 0 means that the row is absent.
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put writes a row, or deletes it when Value is null.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Transaction takes effect as a whole if every check holds.
type Transaction struct {
	Checks []Check `json:"checks"`
	Puts   []Put   `json:"puts"`
}

// Commit answers a transaction that took effect. All rows that it put have
// Version.
type Commit struct {
	Version int64 `json:"version"`
}

// Row is a stored row. Version 0 means that there is none.
type Row struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}

// ReadRequest names rows by key and by prefix.
type ReadRequest struct {
	Keys     []string `json:"keys"`
	Prefixes []string `json:"prefixes"`
}

// Rows answers a read, or a transaction whose checks failed. A read lists the
// named keys first and in order, then those of the prefixes in key order.
type Rows struct {
	Rows []Row `json:"rows"`
}

// VM is an entry of the list of VMs.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving"`
}

// VMs answers a request for the list.
type VMs struct {
	VMs []VM `json:"vms"`
}

// Paths of the platform's services.
const (
	PathTransact = "/table/transact"
	PathRead     = "/table/read"
	PathObjects  = "/objects/"
	PathVMs      = "/vms"
)
