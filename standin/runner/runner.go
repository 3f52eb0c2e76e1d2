// Package runner is a test double of an app service. It accepts orders, returns
// the stock, and counts how often it executed each order.
package runner

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"hawthornspar/timer"
)

// Runner serves the app service.
type Runner struct {
	clock         timer.Clock
	mu            sync.Mutex
	executions    map[string]int // by order reference
	total         int            // executions of all orders
	responseDelay time.Duration
	crash         bool
	exit          func() // ends the process
}

// order is the body of a request to /orders.
type order struct {
	Ref  string `json:"ref"`
	Item string `json:"item"`
}

// Behaviour holds the faults that a request to /admin/behaviour sets. They
// apply to the orders after it.
type Behaviour struct {
	ResponseDelayMillis int64 `json:"holdMillis"` // between the execution of an order and its response
	Crash               bool  `json:"crash"`      // the next order is executed, then the process ends without a response
}

// Counts are the totals since the start of the process.
type Counts struct {
	Orders map[string]int `json:"orders"` // executions by order reference
	Total  int            `json:"total"`  // executions of all orders
}

// New returns a Runner that calls exit to simulate a crash.
func New(clock timer.Clock, exit func()) *Runner {
	return &Runner{clock: clock, executions: map[string]int{}, exit: exit}
}

// Handler returns the runner's HTTP handler.
func (r *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", r.placeOrder)
	mux.HandleFunc("GET /stock", r.stock)
	mux.HandleFunc("GET /admin/counts", r.counts)
	mux.HandleFunc("POST /admin/behaviour", r.setBehaviour)
	return mux
}

// placeOrder executes an order and responds with its number in the order of
// execution, unless the behaviour crashes the process first.
func (r *Runner) placeOrder(w http.ResponseWriter, request *http.Request) {
	var o order
	if err := json.NewDecoder(request.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	number, delay, crash := r.execute(o)
	if crash {
		r.exit()
		return
	}
	if delay > 0 {
		t := r.clock.NewTicker(delay)
		<-t.C
		t.Stop()
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"ref":%q,"item":%q,"number":%d}`+"\n", o.Ref, o.Item, number)
}

// execute counts an order, and returns its number and the response delay and
// crash flag in force.
func (r *Runner) execute(o order) (int, time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions[o.Ref]++
	r.total++
	return r.total, r.responseDelay, r.crash
}

func (r *Runner) stock(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintln(w, `{"items":[{"item":"strainer","count":40},{"item":"badger knot","count":7}]}`)
}

func (r *Runner) counts(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	json.NewEncoder(w).Encode(Counts{Orders: r.executions, Total: r.total})
}

func (r *Runner) setBehaviour(w http.ResponseWriter, request *http.Request) {
	var b Behaviour
	if err := json.NewDecoder(request.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responseDelay = time.Duration(b.ResponseDelayMillis) * time.Millisecond
	r.crash = b.Crash
}
