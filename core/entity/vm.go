package entity

import "time"

// VM identifies one of the system's own processes.
type VM struct {
	Name        string
	Incarnation string
	Address     string // IP:port of the peer protocol
	Domain      string // failure domain
}

// Listed is an entry of the platform's lagging list.
type Listed struct {
	Name    string
	Address string
	Domain  string
	Leaving bool
}

// Peer is this VM's view of another VM.
type Peer struct {
	VM
	Listed        bool
	Leaving       bool
	HeardAt       time.Time
	AbsentSince   time.Time // first list without it, zero while listed
	AbsentLists   int
	ConfigVersion int64
}
