package world

import "time"

// Names of the counters that the core increments.
const (
	CounterRefusals = "refusals"
	CounterRetries  = "retries"
	CounterCopies   = "charge_copies"
	CounterTable    = "table_calls"
	CounterRecalls  = "recalls"
)

// Policy holds the parameters of the core's decisions.
type Policy struct {
	FlushEvery       time.Duration // interval of the transactions that write charges and grants
	ResendMin        time.Duration // first backoff after a transaction without a response
	ResendMax        time.Duration // limit of that backoff
	GrantHorizon     time.Duration // time of spending at the recent rate that a grant should cover
	GrantShare       float64       // largest part of a budget's remaining tokens that one draw takes
	GrantFloor       int64         // smallest target of a draw, in tokens
	IdleReturn       time.Duration // idle time after which a grant is returned
	RecallWait       time.Duration // longest wait for the replies of a recall round
	RecallEvery      time.Duration // interval of recall rounds for one budget
	FundingWait      time.Duration // longest wait of a request for tokens
	UnreachableWait  time.Duration // the same while the table service does not respond
	CopyWait         time.Duration // longest wait for acknowledged copies of a charge
	CopyCount        int           // peers that keep a copy of each charge
	RecordWait       time.Duration // longest wait for writing a non-idempotent request's response
	WatchFor         time.Duration // longest wait for a non-idempotent request claimed by another VM
	WatchEvery       time.Duration // interval of reading that claim
	HeartbeatEvery   time.Duration // interval of heartbeats
	HeartbeatFanout  int           // peers that get each heartbeat
	PeerSilence      time.Duration // a peer is not used after this time without a message from it
	ListEvery        time.Duration // interval of reading the platform's list of VMs
	ListLag          time.Duration // longest lag of that list
	ConfigEvery      time.Duration // interval of polling the configuration's version
	ConfigFanout     int           // peers that get each configuration change
	RetryRatio       float64       // retries added to the retry budget by each request
	RetryBurst       float64       // limit of the retry budget
	MaxAttempts      int           // failed attempts after which a request is refused
	EndpointRest     time.Duration // time without requests after a failure; doubles with each consecutive one
	EndpointRestMax  time.Duration // limit of that time
	QuarantineDeaths int           // endpoint crashes after which a fingerprint is quarantined
	QueueDepth       int           // requests that wait in the queue of one rank on one VM
	BootstrapHash    string        // hash of the secret that may create the first operator's key
	PauseLimit       time.Duration // a longer gap between steps counts as a pause of the process
}

// DefaultPolicy returns the values that apply unless settings override them.
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
