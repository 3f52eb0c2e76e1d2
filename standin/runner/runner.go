// Package runner stands in for a plain app service that takes orders and
// tells stock, and counts how often each order really ran.
package runner

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"hawthornspar/timer"
)

// Runner is the order desk.
type Runner struct {
	clock  timer.Service
	mu     sync.Mutex
	orders map[string]int // runs by order reference
	total  int
	hold   time.Duration
	crash  bool
	exit   func()
}

// order is the body of a call to /orders.
type order struct {
	Ref  string `json:"ref"`
	Item string `json:"item"`
}

// Behaviour is switched while the stand-in runs.
type Behaviour struct {
	HoldMillis int64 `json:"holdMillis"` // between running an order and answering
	Crash      bool  `json:"crash"`      // the next order runs, then the process ends unanswered
}

// Counts tells how often each order ran.
type Counts struct {
	Orders map[string]int `json:"orders"`
	Total  int            `json:"total"`
}

// New returns a runner that calls exit to crash.
func New(clock timer.Service, exit func()) *Runner {
	return &Runner{clock: clock, orders: map[string]int{}, exit: exit}
}

// Handler returns the runner's HTTP handler.
func (r *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", r.take)
	mux.HandleFunc("GET /stock", r.stock)
	mux.HandleFunc("GET /admin/counts", r.counts)
	mux.HandleFunc("POST /admin/behaviour", r.behave)
	return mux
}

func (r *Runner) take(w http.ResponseWriter, q *http.Request) {
	var o order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	number, hold, crash := r.run(o)
	if crash {
		r.exit()
		return
	}
	if hold > 0 {
		t := r.clock.Subscribe(hold)
		<-t.C
		t.Stop()
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"ref":%q,"item":%q,"number":%d}`+"\n", o.Ref, o.Item, number)
}

func (r *Runner) run(o order) (int, time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders[o.Ref]++
	r.total++
	return r.total, r.hold, r.crash
}

func (r *Runner) stock(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintln(w, `{"items":[{"item":"strainer","count":40},{"item":"badger knot","count":7}]}`)
}

func (r *Runner) counts(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	json.NewEncoder(w).Encode(Counts{Orders: r.orders, Total: r.total})
}

func (r *Runner) behave(w http.ResponseWriter, q *http.Request) {
	var b Behaviour
	if err := json.NewDecoder(q.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hold = time.Duration(b.HoldMillis) * time.Millisecond
	r.crash = b.Crash
}
