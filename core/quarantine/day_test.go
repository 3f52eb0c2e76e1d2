package quarantine

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// day is a random day on virtual time: VMs send requests to endpoints, which crash when
// they begin to write an answer to a prompt with a deadly part, or by themselves.
type day struct {
	*testFleet
	random    *rand.Rand
	endpoints []*dayEndpoint
	perSecond float64 // sound requests
	accounts  int
	documents int                                      // of each account
	deadly    func(at time.Duration) []Feature         // parts of a deadly request that is sent now; nil for none
	moment    func(length time.Duration) time.Duration // of the crash by a deadly part, after the response's first event
	lucky     float64                                  // share of the runs with a deadly part that are sound
	turns     Feature                                  // a part of sound requests that is deadly from turnsAt on
	turnsAt   time.Duration
	crashing  func(at time.Duration) []int // endpoints that crash by themselves now
	start     time.Time
	sends     map[Feature][]time.Duration // of deadly requests that reached endpoints
	crashedAt map[Feature][]time.Duration // by deadly requests
	refused   []time.Duration             // sound requests that were refused
	sound     []time.Duration             // sound requests that were sent
}

type dayEndpoint struct {
	id     string
	born   int64
	downTo time.Time
	runs   []*dayRun
}

type dayRun struct {
	vm         *Table
	features   []Feature
	deadly     []Feature
	begins     time.Time
	ends       time.Time
	crashes    time.Time // zero for never
	checkpoint Progress  // the next one
}

// at returns what has become of the run by now.
func (r *dayRun) at(now time.Time) Run {
	run := Run{Features: r.features, Request: "id", Ended: !now.Before(r.ends)}
	if ms := now.Sub(r.begins).Milliseconds(); ms >= 0 {
		run.Reached = Progress{Bytes: dayEventBytes * (1 + ms/dayEventMs), Ms: ms}
	}
	return run
}

const (
	dayEventBytes = 50
	dayEventMs    = 30
)

const (
	dayTick     = 10 * time.Millisecond
	syncPeriod  = 100 * time.Millisecond // how often VMs share what they know
	dayDowntime = 3 * time.Second
	dayWindow   = 3 * time.Second // after the fifth crash; requests with the part may be sent until then
)

func newDay(seed int64, vms, endpoints int) *day {
	d := &day{
		testFleet: newTestFleet(vms), random: rand.New(rand.NewSource(seed)), perSecond: 4 * float64(endpoints), accounts: 10, documents: 40,
		deadly: func(time.Duration) []Feature { return nil }, crashing: func(time.Duration) []int { return nil },
		moment: func(time.Duration) time.Duration { return -dayTick },
		sends:  map[Feature][]time.Duration{}, crashedAt: map[Feature][]time.Duration{},
	}
	for i := range endpoints {
		d.endpoints = append(d.endpoints, &dayEndpoint{id: fmt.Sprintf("e%d", i)})
	}
	d.start = d.now
	return d
}

func (d *day) at() time.Duration { return d.now.Sub(d.start) }

// play plays the day and returns how long each sound feature was quarantined.
func (d *day) play(length time.Duration) map[Feature]time.Duration {
	quarantined := map[Feature]time.Duration{}
	for tick := 0; d.at() < length; tick++ {
		d.advance(dayTick)
		for n := d.random.Float64() + d.perSecond*dayTick.Seconds(); n >= 1; n-- {
			d.send(d.soundRequest(), nil)
		}
		if parts := d.deadly(d.at()); parts != nil {
			d.send(append(d.soundRequest(), parts...), parts)
		}
		for _, e := range d.endpoints {
			d.run(e)
		}
		for _, i := range d.crashing(d.at()) {
			d.crashEndpoint(d.endpoints[i])
		}
		if tick%int(syncPeriod/dayTick) == 0 {
			d.sync()
			for f := range d.vms[0].quarantined {
				quarantined[f] += syncPeriod
			}
		}
	}
	return quarantined
}

// soundRequest returns the features of a random request: a common first part and a
// document, of which few are popular.
func (d *day) soundRequest() []Feature {
	account := d.random.Intn(d.accounts)
	document := int(float64(d.documents) * d.random.Float64() * d.random.Float64())
	return []Feature{
		Feature(fmt.Sprintf("request:%d", d.random.Int63())),
		Feature(fmt.Sprintf("part:first-%d", account)),
		Feature(fmt.Sprintf("part:document-%d-%d", account, document)),
	}
}

// send sends a request to a random endpoint that is up, unless it is refused.
func (d *day) send(features, deadly []Feature) {
	vm := d.vms[d.random.Intn(len(d.vms))]
	if deadly == nil && d.at() >= d.turnsAt && slices.Contains(features, d.turns) {
		deadly = []Feature{d.turns}
	}
	if deadly == nil {
		d.sound = append(d.sound, d.at())
	}
	e := d.endpoints[d.random.Intn(len(d.endpoints))]
	if d.now.Before(e.downTo) {
		return
	}
	if !d.runs(vm, features...) {
		if deadly == nil {
			d.refused = append(d.refused, d.at())
		}
		return
	}
	for _, f := range deadly {
		d.sends[f] = append(d.sends[f], d.at())
	}
	begins := d.now.Add(time.Duration(50+d.random.Intn(600)) * time.Millisecond)
	length := time.Duration(500+d.random.Intn(2_500)) * time.Millisecond
	r := &dayRun{vm: vm, features: features, deadly: deadly, begins: begins, ends: begins.Add(length), checkpoint: Progress{}.NextCheckpoint()}
	if deadly != nil && d.random.Float64() >= d.lucky {
		r.crashes = begins.Add(d.moment(length))
	}
	e.runs = append(e.runs, r)
}

// run lets the requests at an endpoint go on.
func (d *day) run(e *dayEndpoint) {
	for _, r := range e.runs {
		if !r.crashes.IsZero() && !d.now.Before(r.crashes) {
			for _, f := range r.deadly {
				d.crashedAt[f] = append(d.crashedAt[f], d.at())
			}
			d.crashEndpoint(e)
			return
		}
	}
	e.runs = slices.DeleteFunc(e.runs, func(r *dayRun) bool {
		run := r.at(d.now)
		if run.Ended || run.Reached.Reaches(r.checkpoint) {
			r.vm.RecordSound(run, d.now)
			r.checkpoint = run.Reached.NextCheckpoint()
		}
		return run.Ended
	})
}

func (d *day) crashEndpoint(e *dayEndpoint) {
	for _, r := range e.runs {
		r.vm.RecordCrash(r.at(d.now), Incarnation{e.id, e.born}, d.now)
	}
	e.runs = nil
	e.born = d.now.UnixMilli()
	e.downTo = d.now.Add(dayDowntime)
}

// lateSends returns the number of sends of a deadly part later than dayWindow after its
// fifth crash.
func (d *day) lateSends(f Feature) int {
	crashes := d.crashedAt[f]
	if len(crashes) < 5 {
		return 0
	}
	return countLater(d.sends[f], crashes[4]+dayWindow)
}

func countLater(list []time.Duration, than time.Duration) int {
	n := 0
	for _, at := range list {
		if at > than {
			n++
		}
	}
	return n
}

// every returns whether something that comes at random, so often a second, comes in a
// tick.
func (d *day) every(perSecond float64) bool {
	return d.random.Float64() < perSecond*dayTick.Seconds()
}

// expectSoundServed expects that no sound feature was quarantined for long, and that few
// sound requests were refused. quarantined holds how long each sound feature was.
func (d *day) expectSoundServed(seed int64, quarantined map[Feature]time.Duration) {
	for f, t := range quarantined {
		Expect(t).To(BeNumerically("<=", dayWindow), "seed %d: %s", seed, f)
	}
	Expect(len(d.refused)).To(BeNumerically("<=", len(d.sound)/100), "seed %d: sound requests refused", seed)
}

// fleetSize is a number of VMs and endpoints.
type fleetSize struct {
	vms, endpoints int
	seeds          int64 // days that are played
}

var _ = Describe("Days with deadly parts of prompts", func() {
	sizes := []fleetSize{{8, 18, 3}, {83, 140, 1}, {295, 160, 1}}
	const begin, end, length = 4 * time.Second, 26 * time.Second, 30 * time.Second
	for _, size := range sizes {
		for _, c := range []struct {
			name    string
			parts   []Feature
			through float64 // share of the sound rate at which deadly requests come
			flaps   bool    // whether endpoints crash by themselves beside them
		}{
			{"one part", []Feature{deadly}, 0.02, false},
			{"two parts", []Feature{deadly, fatal}, 0.02, false},
			{"a rare part", []Feature{deadly}, 0.002, false},
			{"one part beside endpoints that crash by themselves", []Feature{deadly}, 0.02, true},
		} {
			// Guards against deadly parts that are not found, and against sound ones that are
			// taken for deadly, at any size.
			It(fmt.Sprintf("end with the part known and nothing sound refused for long: %s, %d VMs, %d endpoints", c.name, size.vms, size.endpoints), func() {
				for seed := range size.seeds {
					d := newDay(seed, size.vms, size.endpoints)
					rate := max(d.perSecond*c.through, 0.5)
					d.deadly = func(at time.Duration) []Feature {
						if at < begin || at > end || !d.every(rate) {
							return nil
						}
						return []Feature{c.parts[d.random.Intn(len(c.parts))]}
					}
					if c.flaps {
						d.crashing = func(time.Duration) []int {
							if !d.every(float64(size.endpoints) / 40) {
								return nil
							}
							return []int{d.random.Intn(size.endpoints)}
						}
					}
					quarantined := d.play(length)
					for _, part := range c.parts {
						Expect(d.lateSends(part)).To(BeNumerically("<=", 3), "seed %d, %d crashes", seed, len(d.crashedAt[part]))
						delete(quarantined, part)
					}
					d.expectSoundServed(seed, quarantined)
				}
			})
		}

		// Guards against a part that is taken for sound because it was.
		It(fmt.Sprintf("end with a popular document known that begins to be deadly: %d VMs, %d endpoints", size.vms, size.endpoints), func() {
			for seed := range size.seeds {
				d := newDay(seed, size.vms, size.endpoints)
				d.turns, d.turnsAt = "part:document-0-0", begin
				quarantined := d.play(length)
				Expect(d.lateSends(d.turns)).To(BeNumerically("<=", 3), "seed %d, %d crashes", seed, len(d.crashedAt[d.turns]))
				Expect(len(d.crashedAt[d.turns])).To(BeNumerically(">=", 2))
				delete(quarantined, d.turns)
				d.expectSoundServed(seed, quarantined)
			}
		})

		// Guards against sound requests that are refused because a quarter of the endpoints
		// crashed at once, or crash again and again.
		It(fmt.Sprintf("without a deadly part quarantine nothing for long: a quarter at once, then flapping, %d VMs, %d endpoints", size.vms, size.endpoints), func() {
			for seed := range size.seeds {
				d := newDay(seed, size.vms, size.endpoints)
				quarter := size.endpoints / 4
				d.crashing = func(at time.Duration) []int {
					switch {
					case at == begin:
						return d.random.Perm(size.endpoints)[:quarter]
					case at > 10*time.Second && d.every(float64(quarter)/4):
						return []int{d.random.Intn(quarter)}
					}
					return nil
				}
				d.expectSoundServed(seed, d.play(length))
			}
		})
	}
})
