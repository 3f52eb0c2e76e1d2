package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hawthornspar/platform/standin"
)

// Kind is the kind of a scheduled event: a fault or an operator's change.
type Kind string

// Kinds of events. Event.Duration is the duration of the faults that last.
const (
	Kill         Kind = "kill"         // SIGKILL; the VM restarts at once
	PowerOff     Kind = "powerOff"     // SIGKILL; the VM restarts later
	PowerOffAll  Kind = "powerOffAll"  // powerOff of all VMs at the same time
	Pause        Kind = "pause"        // SIGSTOP, then SIGCONT
	Terminate    Kind = "terminate"    // SIGTERM; the VM restarts
	Series       Kind = "series"       // SIGTERM of all VMs, one after the other
	Hangup       Kind = "hangup"       // SIGHUP
	Rewrite      Kind = "rewrite"      // the settings file changes, no signal is sent
	StoreDown    Kind = "storeDown"    // the store responds with 503
	StoreSlow    Kind = "storeSlow"    // the store delays each response
	StoreLoses   Kind = "storeLoses"   // the store applies writes, some of them late, and sends no response
	StoreForgets Kind = "storeForgets" // the store drops its change history
	CutReset     Kind = "cutReset"     // a VM's connections to the store are closed, new ones at once
	CutSilent    Kind = "cutSilent"    // a VM's connections to the store carry no bytes in either direction
	CutOneWay    Kind = "cutOneWay"    // a VM's connections to the store carry only what the VM sends
	Crash        Kind = "crash"        // an endpoint crashes and restarts under a new id
	Reborn       Kind = "reborn"       // an endpoint crashes and restarts under the same id
	Leave        Kind = "leave"        // an endpoint drains, stops and is replaced
	Misbehave    Kind = "misbehave"    // an endpoint shows one of faultyBehaviours
	SlowLink     Kind = "slowLink"     // an endpoint's link delays what it carries
	SilentLink   Kind = "silentLink"   // an endpoint's link carries no bytes
	Configure    Kind = "configure"    // a marker route is added; beyond maxMarkers the oldest is removed
	TopUp        Kind = "topUp"        // an account's budget is raised
	Lethal       Kind = "lethal"       // a request that crashes endpoints is sent to VMs again and again
	SayLeaving   Kind = "sayLeaving"   // an endpoint says in its responses that it is leaving, stops and is replaced
	SayPause     Kind = "sayPause"     // an endpoint rejects requests and says that it wants none for a time
	LethalPart   Kind = "lethalPart"   // requests with a part of a prompt that crashes endpoints are sent to VMs
	OddEntry     Kind = "oddEntry"     // another writer leaves an entry in the registry
	StepBack     Kind = "stepBack"     // the store is away for a moment and comes back from a copy of an age of Duration
)

var kinds = []Kind{
	Kill, PowerOff, PowerOffAll, Pause, Terminate, Series, Hangup, Rewrite, StoreDown, StoreSlow, StoreLoses, StoreForgets,
	CutReset, CutSilent, CutOneWay, Crash, Reborn, Leave, Misbehave, SlowLink, SilentLink, Configure, TopUp,
}

// extendedKinds are the kinds from which schedules draw from firstNoticeSeed on.
var extendedKinds = append(kinds[:len(kinds):len(kinds)], Lethal, Lethal, Lethal, SayLeaving, SayLeaving, SayPause, SayPause, OddEntry)

// firstNoticeSeed is the first seed whose schedule may draw from extendedKinds and
// noticeBehaviours.
const firstNoticeSeed = 2000

// partKinds are the kinds from which schedules draw from firstPartSeed on.
var partKinds = append(extendedKinds[:len(extendedKinds):len(extendedKinds)], LethalPart, LethalPart, LethalPart)

// firstPartSeed is the first seed whose schedule may draw from partKinds, and whose
// callers send prompts with parts.
const firstPartSeed = 3000

// stepBackKinds are the kinds from which schedules draw from firstStepBackSeed on.
var stepBackKinds = append(partKinds[:len(partKinds):len(partKinds)], StepBack, StepBack, StepBack, StepBack)

// firstStepBackSeed is the first seed whose schedule may draw from stepBackKinds.
const firstStepBackSeed = 5000

// kindsOf returns the kinds from which the schedule of a seed draws.
func kindsOf(seed uint64) []Kind {
	if seed >= firstStepBackSeed {
		return stepBackKinds
	}
	if seed >= firstPartSeed {
		return partKinds
	}
	if seed >= firstNoticeSeed {
		return extendedKinds
	}
	return kinds
}

var faultyBehaviours = []standin.Behaviour{
	standin.Rejects, standin.Resets, standin.Fails, standin.AnswersTwice, standin.AnswersEarly, standin.Breaks, standin.Unframed, standin.Hangs,
}

// firstExtendedSeed is the first seed whose schedule may also draw from
// extendedBehaviours. The schedules of earlier seeds stay as they were, as some of
// them are kept as regression cases.
const firstExtendedSeed = 1000

var extendedBehaviours = append(faultyBehaviours[:len(faultyBehaviours):len(faultyBehaviours)],
	standin.EndlessHead, standin.EndlessEvent, standin.Trickles, standin.Unsealed)

var noticeBehaviours = append(extendedBehaviours[:len(extendedBehaviours):len(extendedBehaviours)],
	standin.RejectsAgain, standin.NamelessAgain, standin.PlainError, standin.SealedError)

// behavioursOf returns the behaviours from which the schedule of a seed draws.
func behavioursOf(seed uint64) []standin.Behaviour {
	if seed >= firstNoticeSeed {
		return noticeBehaviours
	}
	if seed >= firstExtendedSeed {
		return extendedBehaviours
	}
	return faultyBehaviours
}

// Event is one entry of a schedule.
type Event struct {
	At        time.Duration // since the start of the schedule
	Kind      Kind
	Target    int               // selects a VM, an endpoint or an account, modulo their number
	Duration  time.Duration     // of a fault that lasts
	Behaviour standin.Behaviour // for Misbehave
}

// String implements fmt.Stringer.
func (e Event) String() string {
	return fmt.Sprintf("%5.1f s %s %d for %.1f s %s", e.At.Seconds(), e.Kind, e.Target, e.Duration.Seconds(), e.Behaviour)
}

// Schedule returns count random events spread over a period. The same seed gives
// the same events. Events may overlap, and are not sorted by time.
func Schedule(seed uint64, period time.Duration, count int) []Event {
	r := rand.New(rand.NewPCG(seed, 11))
	kinds, behaviours := kindsOf(seed), behavioursOf(seed)
	events := make([]Event, count)
	for i := range events {
		events[i] = Event{
			At: time.Duration(r.Float64() * float64(period)), Kind: kinds[r.IntN(len(kinds))], Target: r.IntN(1 << 16),
			Duration: 500*time.Millisecond + time.Duration(r.Float64()*float64(4*time.Second)), Behaviour: behaviours[r.IntN(len(behaviours))],
		}
	}
	return events
}
