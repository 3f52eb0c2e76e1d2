package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hawthornspar/platform/standin"
)

// Kind is a kind of fault or of planned work.
type Kind string

// Kinds. For is how long they last, where they last.
const (
	Kill         Kind = "kill"         // SIGKILL; the VM starts again at once
	PowerOff     Kind = "powerOff"     // SIGKILL, and no start for a while
	PowerOffAll  Kind = "powerOffAll"  // of all VMs at one moment
	Pause        Kind = "pause"        // SIGSTOP, then SIGCONT
	Terminate    Kind = "terminate"    // SIGTERM; the VM starts again
	Series       Kind = "series"       // SIGTERM of all VMs in turn
	Hangup       Kind = "hangup"       // SIGHUP
	Rewrite      Kind = "rewrite"      // the settings file changes without a signal
	StoreDown    Kind = "storeDown"    // answers 503
	StoreSlow    Kind = "storeSlow"    // each answer takes longer
	StoreLoses   Kind = "storeLoses"   // carries writes out, some late, and does not answer
	StoreForgets Kind = "storeForgets" // drops its history
	CutReset     Kind = "cutReset"     // a VM's connections to the store are reset and refused
	CutSilent    Kind = "cutSilent"    // they fall silent
	CutOneWay    Kind = "cutOneWay"    // only what the VM sends arrives
	Crash        Kind = "crash"        // an endpoint dies and comes back as a new one
	Reborn       Kind = "reborn"       // it comes back under its old id
	Leave        Kind = "leave"        // an endpoint says that it leaves, and goes
	Misbehave    Kind = "misbehave"    // an endpoint treats requests badly
	SlowLink     Kind = "slowLink"     // an endpoint's link delays
	SilentLink   Kind = "silentLink"   // it falls silent
	Configure    Kind = "configure"    // a route is added, another one removed
	TopUp        Kind = "topUp"        // an account's budget is raised
)

var kinds = []Kind{
	Kill, PowerOff, PowerOffAll, Pause, Terminate, Series, Hangup, Rewrite, StoreDown, StoreSlow, StoreLoses, StoreForgets,
	CutReset, CutSilent, CutOneWay, Crash, Reborn, Leave, Misbehave, SlowLink, SilentLink, Configure, TopUp,
}

var misdeeds = []standin.Behaviour{
	standin.Rejects, standin.Resets, standin.Fails, standin.AnswersTwice, standin.AnswersEarly, standin.Breaks, standin.Unframed, standin.Hangs,
}

// Event is one entry of a schedule.
type Event struct {
	At        time.Duration // since the traffic began
	Kind      Kind
	Target    int // index of a VM, an endpoint or an account, where one is meant
	For       time.Duration
	Behaviour standin.Behaviour
}

// String implements fmt.Stringer.
func (e Event) String() string {
	return fmt.Sprintf("%5.1f s %s %d for %.1f s %s", e.At.Seconds(), e.Kind, e.Target, e.For.Seconds(), e.Behaviour)
}

// Schedule spreads faults over a span, the same for the same seed. They may
// overlap.
func Schedule(seed uint64, span time.Duration, count int) []Event {
	r := rand.New(rand.NewPCG(seed, 11))
	events := make([]Event, count)
	for i := range events {
		events[i] = Event{
			At: time.Duration(r.Float64() * float64(span)), Kind: kinds[r.IntN(len(kinds))], Target: r.IntN(1 << 16),
			For: 500*time.Millisecond + time.Duration(r.Float64()*float64(4*time.Second)), Behaviour: misdeeds[r.IntN(len(misdeeds))],
		}
	}
	return events
}
