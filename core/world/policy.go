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
	FlushInterval      time.Duration // interval of the transactions that write charges and grants
	ResendBackoffMin   time.Duration // first backoff after a transaction without a response
	ResendBackoffMax   time.Duration // limit of that backoff, which doubles with each resend
	GrantHorizon       time.Duration // time of spending at the recent rate that a grant should cover
	MaxDrawShare       float64       // largest part of a budget's remaining tokens that one draw takes
	MinDrawTarget      int64         // smallest target of a draw, in tokens
	GrantIdleTimeout   time.Duration // idle time after which a grant is returned
	RecallTimeout      time.Duration // longest wait for the replies of a recall round
	RecallInterval     time.Duration // interval of recall rounds for one budget
	FundingTimeout     time.Duration // longest wait of a request for tokens
	UnreachableTimeout time.Duration // longest such wait while the table service is unreachable
	CopyTimeout        time.Duration // longest wait for acknowledged copies of a charge
	CopyCount          int           // peers that keep a copy of each charge
	RecordTimeout      time.Duration // longest wait for writing a non-idempotent request's response
	WatchTimeout       time.Duration // longest wait for a non-idempotent request claimed by another VM
	WatchInterval      time.Duration // interval of reading the claim of such a request
	HeartbeatInterval  time.Duration // interval of heartbeats
	HeartbeatFanout    int           // peers that get each heartbeat
	PeerTimeout        time.Duration // a peer is not used after this time without a message from it
	ListInterval       time.Duration // interval of reading the platform's list of VMs
	MaxListLag         time.Duration // longest lag of the platform's list of VMs
	ConfigInterval     time.Duration // interval of polling the configuration's version
	ConfigFanout       int           // peers that get each configuration change
	RetryRatio         float64       // retries added to the retry budget by each request
	RetryBurst         float64       // limit of the retry budget
	MaxBrokenAttempts  int           // failed attempts after which a request is refused
	EndpointBackoff    time.Duration // time without requests after a failure; doubles with each consecutive one
	EndpointBackoffMax time.Duration // limit of the time without requests after failures
	QuarantineCrashes  int           // endpoint crashes after which a fingerprint is quarantined
	QueueDepth         int           // requests that wait in the queue of one rank on one VM
	BootstrapHash      string        // hash of the secret that may create the first operator's key
	MaxStepGap         time.Duration // a longer gap between steps counts as a pause of the process
}

// DefaultPolicy returns the values that apply unless settings override them.
func DefaultPolicy() Policy {
	return Policy{
		FlushInterval:      2 * time.Second,
		ResendBackoffMin:   100 * time.Millisecond,
		ResendBackoffMax:   2 * time.Second,
		GrantHorizon:       120 * time.Second,
		MaxDrawShare:       0.125,
		MinDrawTarget:      2_000,
		GrantIdleTimeout:   10 * time.Minute,
		RecallTimeout:      400 * time.Millisecond,
		RecallInterval:     300 * time.Millisecond,
		FundingTimeout:     5 * time.Second,
		UnreachableTimeout: time.Second,
		CopyTimeout:        150 * time.Millisecond,
		CopyCount:          2,
		RecordTimeout:      200 * time.Millisecond,
		WatchTimeout:       5 * time.Second,
		WatchInterval:      100 * time.Millisecond,
		HeartbeatInterval:  time.Second,
		HeartbeatFanout:    8,
		PeerTimeout:        4 * time.Second,
		ListInterval:       2 * time.Second,
		MaxListLag:         10 * time.Second,
		ConfigInterval:     2 * time.Second,
		ConfigFanout:       3,
		RetryRatio:         0.1,
		RetryBurst:         20,
		MaxBrokenAttempts:  3,
		EndpointBackoff:    500 * time.Millisecond,
		EndpointBackoffMax: 30 * time.Second,
		QuarantineCrashes:  2,
		QueueDepth:         2_000,
		MaxStepGap:         2 * time.Second,
	}
}
