package world

import "time"

// Names of counters.
const (
	CounterRefusals = "refusals"
	CounterRetries  = "retries"
	CounterCopies   = "charge_copies"
	CounterTable    = "table_calls"
	CounterRecalls  = "recalls"
)

// Policy holds the numbers that steer decisions.
type Policy struct {
	FlushEvery       time.Duration // between packed transactions
	ResendMin        time.Duration // first wait after an unanswered transaction
	ResendMax        time.Duration
	GrantHorizon     time.Duration // spending that a grant should last for
	GrantShare       float64       // largest part of what is left that one draw takes
	GrantFloor       int64         // smallest draw, tokens
	IdleReturn       time.Duration // an idle grant is returned after this
	RecallWait       time.Duration // for the replies of holders
	RecallEvery      time.Duration // between rounds of one budget
	FundingWait      time.Duration // longest wait for tokens
	UnreachableWait  time.Duration // longest wait for a silent table
	CopyWait         time.Duration // for copies of a charge
	CopyCount        int
	RecordWait       time.Duration // for the outcome of an order to be kept
	WatchFor         time.Duration // for an order that another VM runs
	WatchEvery       time.Duration
	HeartbeatEvery   time.Duration
	HeartbeatFanout  int
	PeerSilence      time.Duration // a peer not heard for so long is not used
	ListEvery        time.Duration
	ListLag          time.Duration // longest lag of the platform's list
	ConfigEvery      time.Duration
	ConfigFanout     int
	RetryRatio       float64 // retries allowed for each request
	RetryBurst       float64
	MaxAttempts      int
	EndpointRest     time.Duration // after a failure, doubled for each in a row
	EndpointRestMax  time.Duration
	QuarantineDeaths int
	QueueDepth       int           // requests that wait on one VM
	BootstrapHash    string        // of the secret that may create the first operator's key
	PauseLimit       time.Duration // a longer gap between ticks counts as a pause
}

// DefaultPolicy returns the values used unless settings say otherwise.
func DefaultPolicy() Policy {
	return Policy{
		FlushEvery:       2 * time.Second,
		ResendMin:        100 * time.Millisecond,
		ResendMax:        2 * time.Second,
		GrantHorizon:     120 * time.Second,
		GrantShare:       0.125,
		GrantFloor:       2_000,
		IdleReturn:       10 * time.Minute,
		RecallWait:       400 * time.Millisecond,
		RecallEvery:      300 * time.Millisecond,
		FundingWait:      5 * time.Second,
		UnreachableWait:  time.Second,
		CopyWait:         150 * time.Millisecond,
		CopyCount:        2,
		RecordWait:       200 * time.Millisecond,
		WatchFor:         5 * time.Second,
		WatchEvery:       100 * time.Millisecond,
		HeartbeatEvery:   time.Second,
		HeartbeatFanout:  8,
		PeerSilence:      4 * time.Second,
		ListEvery:        2 * time.Second,
		ListLag:          10 * time.Second,
		ConfigEvery:      2 * time.Second,
		ConfigFanout:     3,
		RetryRatio:       0.1,
		RetryBurst:       20,
		MaxAttempts:      3,
		EndpointRest:     500 * time.Millisecond,
		EndpointRestMax:  30 * time.Second,
		QuarantineDeaths: 2,
		QueueDepth:       2_000,
		PauseLimit:       2 * time.Second,
	}
}
