package entity

import "time"

// VM identifies one incarnation of a VM of the router fleet.
type VM struct {
	Name        string
	Incarnation string // unique for each start of the process
	Address     string // IP:port of the peer protocol
	Domain      string // failure domain
}

// ListedVM is an entry in the platform's list of VMs, which lags behind.
type ListedVM struct {
	Name         string
	Address      string
	Domain       string // failure domain
	ShuttingDown bool
}

// Peer is the state that this VM keeps of another VM.
type Peer struct {
	VM
	Listed        bool // on the platform's latest list
	ShuttingDown  bool
	LastMessageAt time.Time // arrival of its last message; zero before the first
	AbsentSince   time.Time // first list without it; zero while listed
	AbsentLists   int       // consecutive lists without it
	ConfigVersion int64
}
