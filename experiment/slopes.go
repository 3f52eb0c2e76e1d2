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

// meter measures the processor time, memory and messages of one router.
type meter struct {
	clock    timer.Clock
	spent    time.Duration
	messages int64
	bytes    int64
}

// message counts a message as the peer protocol would encode it.
func (m *meter) message(c outbox.SendMessage) {
	e := &wire.Envelope{Sequence: 1_000_000, Messages: []*wire.PeerMessage{protobuf.MessageToWire(c.Message)}}
	m.messages++
	m.bytes += int64(proto.Size(e))
}

// point is one measurement.
type point struct{ x, y float64 }

// fit returns the least-squares slope and intercept, and the largest
// deviation of a point from the line as a share of the largest value.
func fit(points []point) (slope, intercept, spread float64) {
	var n, sx, sy, sxx, sxy, top float64
	for _, p := range points {
		n++
		sx, sy = sx+p.x, sy+p.y
		sxx, sxy = sxx+p.x*p.x, sxy+p.x*p.y
		top = max(top, math.Abs(p.y))
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	intercept = (sy - slope*sx) / n
	for _, p := range points {
		spread = max(spread, math.Abs(p.y-slope*p.x-intercept)/max(top, 1e-12))
	}
	return slope, intercept, spread
}

// slope is one quantity that grows while the others stay.
type slope struct {
	quantity string
	unit     string
	values   []int
	measure  func(value int) float64
}

// PrintSlopes measures how one router's cost grows with each quantity.
func PrintSlopes(out io.Writer, seed uint64) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "quantity\tcost\tpoints\tslope for one\tat none\tspread")
	for _, s := range slopes(seed) {
		var points []point
		text := ""
		for _, v := range s.values {
			y := s.measure(v)
			points = append(points, point{float64(v), y})
			text += fmt.Sprintf(" %d:%.4g", v, y)
		}
		a, b, spread := fit(points)
		fmt.Fprintf(t, "%s\t%s\t%s\t%.4g\t%.4g\t%.0f%%\n", s.quantity, s.unit, text, a, b, 100*spread)
	}
	t.Flush()
}

func slopes(seed uint64) []slope {
	return []slope{
		{"grants held", "ms of processor a second", []int{0, 500, 1000, 2000, 4000}, func(n int) float64 {
			return idle(seed, 1, func(f *Fleet) { holdGrants(f, n) }).spent.Seconds() * 1000 / idleSeconds
		}},
		{"grants held", "KB of memory", []int{0, 1000, 2000, 4000}, func(n int) float64 {
			return memory(seed, func(f *Fleet) { holdGrants(f, n) })
		}},
		{"API keys in force", "KB of memory", []int{0, 10_000, 40_000, 100_000}, func(n int) float64 {
			return memory(seed, func(f *Fleet) { holdKeys(f, n) })
		}},
		{"peers", "ms of processor a second", []int{1, 7, 49, 199, 389}, func(n int) float64 {
			return idle(seed, n+1, nil).spent.Seconds() * 1000 / idleSeconds
		}},
		{"peers", "message bytes sent a second", []int{1, 3, 5, 7}, func(n int) float64 {
			return float64(idle(seed, n+1, nil).bytes) / idleSeconds
		}},
		{"peers beyond the fan-out", "message bytes sent a second", []int{20, 49, 199, 389}, func(n int) float64 {
			return float64(idle(seed, n+1, nil).bytes) / idleSeconds
		}},
		{"requests a second", "ms of processor a second", []int{10, 50, 100, 200}, func(n int) float64 {
			return busy(seed, n, 10).spent.Seconds() * 1000 / idleSeconds
		}},
		{"requests a second", "message bytes sent a second", []int{10, 50, 100, 200}, func(n int) float64 {
			return float64(busy(seed, n, 10).bytes) / idleSeconds
		}},
		{"endpoints", "ms of processor a second at 100 requests a second", []int{10, 100, 300, 600}, func(n int) float64 {
			return busy(seed, 100, n).spent.Seconds() * 1000 / idleSeconds
		}},
		{"changes", "ms of processor for one", []int{100, 400, 1600}, func(n int) float64 {
			return applyChanges(seed, n) * float64(n)
		}},
	}
}

// idleSeconds is how long, in virtual time, each measurement lasts.
const idleSeconds = 20.0

// metered returns a fleet whose first router is measured.
func metered(seed uint64, routers int) (*Fleet, *meter) {
	f := New(seed, routers, world.DefaultPolicy())
	m := &meter{clock: timer.SystemClock{}}
	f.oneRank()
	f.Table.Account("a", "normal", 1_000_000_000_000)
	return f, m
}

func idle(seed uint64, routers int, prepare func(*Fleet)) *meter {
	f, m := metered(seed, routers)
	f.Run(5 * time.Second)
	if prepare != nil {
		prepare(f)
	}
	f.Run(5 * time.Second)
	f.Nodes[0].meter = m
	f.Run(idleSeconds * time.Second)
	return m
}

func busy(seed uint64, perSecond, endpoints int) *meter {
	f, m := metered(seed, 3)
	for i := range endpoints {
		f.AddEngine(&Engine{Name: fmt.Sprintf("e%03d", i), Slots: 400, QueueSize: 4, TokenTime: time.Millisecond}, "small")
	}
	f.Send(Source{
		Label: "a", Account: "a", Rate: float64(perSecond), From: 3 * time.Second, Until: 40 * time.Second, Nodes: 1,
		Prompt: 80, Output: 50, Limit: 150, Target: 30 * time.Second,
	})
	f.Run(10 * time.Second)
	f.Nodes[0].meter = m
	f.Run(idleSeconds * time.Second)
	return m
}

// holdGrants gives the first router grants of so many budgets.
func holdGrants(f *Fleet, n int) {
	w := f.Nodes[0].Router.World
	for i := range n {
		name := fmt.Sprintf("account%d/main", i)
		w.Grants.Put(name, &entity.Grant{
			Budget: name, Drawn: 10_000, UsedAt: f.Now, ReadAt: f.Now, SpendRateAt: f.Now,
			BudgetRow: entity.BudgetRow{Prepaid: 100_000, Drawn: 10_000, Holders: []string{w.Self.Incarnation}},
		})
	}
}

func holdKeys(f *Fleet, n int) {
	w := f.Nodes[0].Router.World
	for i := range n {
		k := entity.APIKey{
			Hash: fmt.Sprintf("%064d", i), Account: fmt.Sprintf("account%d", i/35),
			Budget: fmt.Sprintf("account%d/b%d", i/35, i%35), Rank: "normal",
		}
		w.Config.Apply(entity.Change{Version: w.Config.Version + 1, Item: k})
	}
}

func memory(seed uint64, prepare func(*Fleet)) float64 {
	f, _ := metered(seed, 1)
	f.Run(time.Second)
	before := heapBytes()
	prepare(f)
	used := heapBytes() - before
	runtime.KeepAlive(f)
	return used / 1024
}

func heapBytes() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

func applyChanges(seed uint64, n int) float64 {
	f, m := metered(seed, 3)
	f.Run(5 * time.Second)
	f.Nodes[0].meter = m
	for i := range n {
		f.Table.Change(entity.Account{Name: fmt.Sprintf("account%d", i), Share: 1})
	}
	f.Run(idleSeconds * time.Second)
	return m.spent.Seconds() * 1000 / float64(n)
}
