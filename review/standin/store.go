package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time of a transaction (TxMs in the settings).
const storeDelay = 5 * time.Millisecond

// row is one row of the platform's store.
type row struct {
	Table     string
	Part      string `json:"part"`
	Key       string
	Value     []byte
	Ver       int64
	Tombstone bool `json:",omitempty"`
}

type rowID struct{ table, part, key string }

// expected is a condition of a transaction, or a removal.
type expected struct {
	Table string
	Part  string `json:"part"`
	Key   string
	Ver   int64
}

// transaction is the body of POST /v1/rows-tx.
type transaction struct {
	ExpectedRevision []expected
	Put              []row
	Remove           []expected
}

// rows is the body of the store's responses.
type rows struct {
	Rows    []row
	HasMore bool
	Ver     int64
	NowMs   int64
}

// store is a stand-in for the platform's store: linearizable, with conditional
// transactions and a feed of changes.
type store struct {
	address string
	started time.Time
	mu      sync.Mutex
	current map[rowID]row
	version int64
	changed chan struct{}
	down    bool // every call gets 503: nothing was done
}

func newStore(ip string) (*store, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), started: time.Now(), current: map[rowID]row{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// put writes a row of the operator or of a runner. It returns false while the store is
// down.
func (s *store) put(table, key string, value any) bool {
	raw, err := json.Marshal(value)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.version++
	s.current[rowID{table, "", key}] = row{Table: table, Key: key, Value: raw, Ver: s.version}
	s.wake()
	return true
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.current[rowID{table, "", key}]; !ok || r.Tombstone {
		return
	}
	s.version++
	s.current[rowID{table, "", key}] = row{Table: table, Key: key, Ver: s.version, Tombstone: true}
	s.wake()
}

// wake wakes the waiting feeds. The caller holds the lock.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/v1/rows-tx":
		s.serveTransaction(w, r)
	case "/v1/rows-get":
		s.serveGet(w, r)
	case "/v1/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func respond(w http.ResponseWriter, status int, out rows) {
	if out.Rows == nil {
		out.Rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}

func (s *store) nowMs() int64 { return time.Since(s.started).Milliseconds() + 1000 }

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	out := rows{Ver: s.version, NowMs: s.nowMs()}
	for _, each := range s.current {
		if each.Table == q.Get("Table") && each.Part == q.Get("part") && !each.Tombstone && each.Key >= q.Get("From") {
			out.Rows = append(out.Rows, each)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(out.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	if len(out.Rows) > 500 {
		out.Rows, out.HasMore = out.Rows[:500], true
	}
	time.Sleep(storeDelay)
	respond(w, http.StatusOK, out)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		out, changed := rows{Ver: s.version, NowMs: s.nowMs()}, s.changed
		for _, each := range s.current {
			if each.Table == q.Get("Table") && each.Ver > after {
				out.Rows = append(out.Rows, each)
			}
		}
		s.mu.Unlock()
		if len(out.Rows) > 0 || ended {
			slices.SortFunc(out.Rows, func(a, b row) int { return int(a.Ver - b.Ver) })
			respond(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeDelay)
	s.mu.Lock()
	out, status := s.transact(t), http.StatusOK
	if out == nil {
		out = &rows{Ver: s.version, NowMs: s.nowMs()}
	} else {
		status = http.StatusPreconditionFailed
	}
	s.mu.Unlock()
	respond(w, status, *out)
}

// transact applies a transaction, or returns the current rows of its conditions. The
// caller holds the lock.
func (s *store) transact(t transaction) *rows {
	failed := false
	current := &rows{Ver: s.version, NowMs: s.nowMs()}
	for _, e := range t.ExpectedRevision {
		r, ok := s.current[rowID{e.Table, e.Part, e.Key}]
		if !ok || r.Tombstone {
			failed = failed || e.Ver != 0
			continue
		}
		current.Rows = append(current.Rows, r)
		failed = failed || e.Ver != r.Ver
	}
	if failed {
		return current
	}
	s.version++
	for _, p := range t.Put {
		p.Ver = s.version
		s.current[rowID{p.Table, p.Part, p.Key}] = p
	}
	for _, e := range t.Remove {
		s.current[rowID{e.Table, e.Part, e.Key}] = row{Table: e.Table, Part: e.Part, Key: e.Key, Ver: s.version, Tombstone: true}
	}
	s.wake()
	return nil
}
