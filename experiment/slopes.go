package experiment

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/proto"

	"hawthornspar/core/entity"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
	"hawthornspar/io/protobuf"
	"hawthornspar/io/wire"
	"hawthornspar/timer"
)

// meter measures the time that one VM's router takes to step, and the messages
// that it sends.
type meter struct {
	clock    timer.Clock   // of real time
	stepTime time.Duration // total
	messages int64
	bytes    int64 // of the encoded messages
}

// countMessage counts a message, and its size when it is the only message of an
// envelope of the peer protocol.
func (m *meter) countMessage(c outbox.SendMessage) {
	e := &wire.Envelope{Sequence: 1_000_000, Messages: []*wire.PeerMessage{protobuf.MessageToWire(c.Message)}}
	m.messages++
	m.bytes += int64(proto.Size(e))
}

// point is a measured cost y at the value x of a parameter.
type point struct{ x, y float64 }

// fitLine returns the slope and intercept of the least-squares line, and the
// largest deviation of a point from it as a share of the largest cost.
func fitLine(points []point) (slope, intercept, deviation float64) {
	var n, sx, sy, sxx, sxy, largest float64
	for _, p := range points {
		n++
		sx, sy = sx+p.x, sy+p.y
		sxx, sxy = sxx+p.x*p.x, sxy+p.x*p.y
		largest = max(largest, math.Abs(p.y))
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	intercept = (sy - slope*sx) / n
	for _, p := range points {
		deviation = max(deviation, math.Abs(p.y-slope*p.x-intercept)/max(largest, 1e-12))
	}
	return slope, intercept, deviation
}

// sweep measures a cost at several values of one parameter, with all other
// parameters fixed.
type sweep struct {
	parameter string
	cost      string
	values    []int
	measure   func(value int) float64
}

// PrintSlopes prints a table of how the costs of one VM grow with each parameter.
func PrintSlopes(out io.Writer, seed uint64) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "quantity\tcost\tpoints\tslope for one\tat none\tspread")
	for _, s := range sweeps(seed) {
		var points []point
		text := ""
		for _, v := range s.values {
			y := s.measure(v)
			points = append(points, point{float64(v), y})
			text += fmt.Sprintf(" %d:%.4g", v, y)
		}
		slope, intercept, deviation := fitLine(points)
		fmt.Fprintf(t, "%s\t%s\t%s\t%.4g\t%.4g\t%.0f%%\n", s.parameter, s.cost, text, slope, intercept, 100*deviation)
	}
	t.Flush()
}

// sweeps returns the sweeps that PrintSlopes prints.
func sweeps(seed uint64) []sweep {
	return []sweep{
		{"grants held", "ms of processor a second", []int{0, 500, 1000, 2000, 4000}, func(n int) float64 {
			return measureIdle(seed, 1, func(f *Fleet) { addGrants(f, n) }).stepTime.Seconds() * 1000 / measuredSeconds
		}},
		{"grants held", "KB of memory", []int{0, 1000, 2000, 4000}, func(n int) float64 {
			return measureMemory(seed, func(f *Fleet) { addGrants(f, n) })
		}},
		{"API keys in force", "KB of memory", []int{0, 10_000, 40_000, 100_000}, func(n int) float64 {
			return measureMemory(seed, func(f *Fleet) { addAPIKeys(f, n) })
		}},
		{"peers", "ms of processor a second", []int{1, 7, 49, 199, 389}, func(n int) float64 {
			return measureIdle(seed, n+1, nil).stepTime.Seconds() * 1000 / measuredSeconds
		}},
		{"peers", "message bytes sent a second", []int{1, 3, 5, 7}, func(n int) float64 {
			return float64(measureIdle(seed, n+1, nil).bytes) / measuredSeconds
		}},
		{"peers beyond the fan-out", "message bytes sent a second", []int{20, 49, 199, 389}, func(n int) float64 {
			return float64(measureIdle(seed, n+1, nil).bytes) / measuredSeconds
		}},
		{"requests a second", "ms of processor a second", []int{10, 50, 100, 200}, func(n int) float64 {
			return measureLoad(seed, n, 10).stepTime.Seconds() * 1000 / measuredSeconds
		}},
		{"requests a second", "message bytes sent a second", []int{10, 50, 100, 200}, func(n int) float64 {
			return float64(measureLoad(seed, n, 10).bytes) / measuredSeconds
		}},
		{"endpoints", "ms of processor a second at 100 requests a second", []int{10, 100, 300, 600}, func(n int) float64 {
			return measureLoad(seed, 100, n).stepTime.Seconds() * 1000 / measuredSeconds
		}},
		{"changes", "ms of processor for one", []int{100, 400, 1600}, func(n int) float64 {
			return measureChanges(seed, n) * float64(n)
		}},
	}
}

// measuredSeconds is the duration of each measurement in virtual time.
const measuredSeconds = 20.0

// newMeteredFleet returns a fleet with one account, and a meter for its first VM.
// The caller attaches the meter when the measurement begins.
func newMeteredFleet(seed uint64, vms int) (*Fleet, *meter) {
	f := New(seed, vms, world.DefaultPolicy())
	m := &meter{clock: timer.SystemClock{}}
	f.configureSingleRank()
	f.Table.AddAccount("a", "normal", 1_000_000_000_000)
	return f, m
}

// measureIdle measures a VM that gets no requests, after prepare has changed the
// fleet.
func measureIdle(seed uint64, vms int, prepare func(*Fleet)) *meter {
	f, m := newMeteredFleet(seed, vms)
	f.Run(5 * time.Second)
	if prepare != nil {
		prepare(f)
	}
	f.Run(5 * time.Second)
	f.VMs[0].meter = m
	f.Run(measuredSeconds * time.Second)
	return m
}

// measureLoad measures a VM that gets all requests of a fleet of three.
func measureLoad(seed uint64, requestRate, endpoints int) *meter {
	f, m := newMeteredFleet(seed, 3)
	for i := range endpoints {
		f.AddEngine(&Engine{Name: fmt.Sprintf("e%03d", i), Slots: 400, QueueSize: 4, TimePerToken: time.Millisecond}, "small")
	}
	f.AddSource(Source{
		Label: "a", Account: "a", RequestRate: float64(requestRate), From: 3 * time.Second, Until: 40 * time.Second, EntryVMs: 1,
		PromptTokens: 80, MeanOutputTokens: 50, MaxTokens: 150, FirstTokenTarget: 30 * time.Second,
	})
	f.Run(10 * time.Second)
	f.VMs[0].meter = m
	f.Run(measuredSeconds * time.Second)
	return m
}

// addGrants adds grants from n budgets to the first VM.
func addGrants(f *Fleet, n int) {
	w := f.VMs[0].Router.World
	for i := range n {
		name := fmt.Sprintf("account%d/main", i)
		w.Grants.Put(name, &entity.Grant{
			Budget: name, Drawn: 10_000, UsedAt: f.Now, ReadAt: f.Now, SpendRateAt: f.Now,
			BudgetRow: entity.BudgetRow{Prepaid: 100_000, Drawn: 10_000, Holders: []string{w.Self.Incarnation}},
		})
	}
}

// addAPIKeys applies n API keys to the first VM's configuration.
func addAPIKeys(f *Fleet, n int) {
	w := f.VMs[0].Router.World
	for i := range n {
		k := entity.APIKey{
			Hash: fmt.Sprintf("%064d", i), Account: fmt.Sprintf("account%d", i/35),
			Budget: fmt.Sprintf("account%d/b%d", i/35, i%35), Rank: "normal",
		}
		w.Config.Apply(entity.Change{Version: w.Config.Version + 1, Item: k})
	}
}

// measureMemory returns the KB of heap that prepare adds to a fleet of one VM.
func measureMemory(seed uint64, prepare func(*Fleet)) float64 {
	f, _ := newMeteredFleet(seed, 1)
	f.Run(time.Second)
	before := heapBytes()
	prepare(f)
	used := heapBytes() - before
	runtime.KeepAlive(f)
	return used / 1024
}

// heapBytes returns the size of the live heap.
func heapBytes() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// measureChanges returns the ms of step time for each of n configuration changes.
func measureChanges(seed uint64, n int) float64 {
	f, m := newMeteredFleet(seed, 3)
	f.Run(5 * time.Second)
	f.VMs[0].meter = m
	for i := range n {
		f.Table.Configure(entity.Account{Name: fmt.Sprintf("account%d", i), Share: 1})
	}
	f.Run(measuredSeconds * time.Second)
	return m.stepTime.Seconds() * 1000 / float64(n)
}
