package entity

import (
	"slices"
	"time"
)

// Phase is the stage of a request.
type Phase int

// Phases in the order in which a request passes them.
const (
	PhaseFunding   Phase = iota // waits for budget
	PhaseQueued                 // waits for an endpoint
	PhaseClaiming               // has a slot and waits for its claim
	PhaseRunning                // an attempt is at an endpoint
	PhaseSettling               // answered; its charge is being copied
	PhaseWatching               // another VM holds the claim
	PhaseForwarded              // passed to another VM
	PhaseSuspect                // held since endpoints died while running it
	PhaseOver
)

// Submission is what a caller asked for, after parsing.
type Submission struct {
	ID           int64  // unique within the process
	KeyHash      string // hash of the caller's secret
	RequestKey   string // Idempotency-Key, or one made by the entry VM
	Service      string
	Rank         string // asked for by the caller; may only lower the key's rank
	PromptTokens int64  // upper bound
	MaxTokens    int64  // 0 when the caller gave none
	Fingerprint  string // hash of the body without its key
	Prefix       uint64 // hash of the start of the prompt
	Streamed     bool   // the caller gets the answer in parts
	Forwarded    bool   // passed on by another VM
	MayHaveRun   bool   // the VM that passed it on had sent it to an endpoint
}

// Request is one caller's request on its entry VM.
type Request struct {
	Submission
	Account      string
	Budget       string
	Kind         string
	Repeatable   bool
	Order        int   // rank order; 0 is the most urgent
	Cost         int64 // worst case, tokens
	Reserve      int64 // part of the grant that is held, tokens
	Arrived      time.Time
	Deadline     time.Time // for the first byte
	Phase        Phase
	Endpoint     string
	Attempt      int // number of the current attempt, from 1
	Retries      int
	Losses       int      // attempts that broke after they were sent
	Avoid        []string // endpoints that must not get it again
	Answering    bool     // the caller was sent a part of the answer
	Abandoned    bool     // every caller hung up
	Charge       Charge
	CopiesDue    int
	RecordDue    bool // the outcome of a claimed request is being kept
	SettleBy     time.Time
	RecordBy     time.Time
	ClaimToken   string
	ClaimHeld    bool
	ClaimVersion int64
	WatchUntil   time.Time
	WatchAt      time.Time // next look at another VM's claim
	QueuedAt     time.Time
	StartedAt    time.Time
	Blamed       bool // its endpoint was in health when it started there
	SoleSuspect  bool // runs apart, since endpoints died while running it

	exposures []int // attempts that an endpoint may have run
}

// Expose records that bytes of the current attempt may reach an endpoint.
// Only Withdraw, with proof, takes it back.
func (r *Request) Expose() { r.exposures = append(r.exposures, r.Attempt) }

// Exposed tells whether an endpoint may have run the request.
func (r *Request) Exposed() bool { return len(r.exposures) > 0 }

// NeverRan is proof that an attempt was not run: no connection was made, or
// the endpoint itself said so before it did any work.
type NeverRan struct{ Attempt int }

// Withdraw takes back Expose for the one attempt that proof names.
func (r *Request) Withdraw(proof NeverRan) {
	r.exposures = slices.DeleteFunc(r.exposures, func(a int) bool { return a == proof.Attempt })
}
