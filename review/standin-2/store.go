package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is one row of the store, as it is sent.
type row struct {
	Table     string
	Part      string `json:"part"`
	Key       string
	Value     []byte
	Ver       int64
	Tombstone bool `json:",omitempty"`
}

// expected is a condition of a transaction; of Remove only the names are used.
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

// rowsAnswer is the body of the answers about rows.
type rowsAnswer struct {
	Rows    []row
	Ver     int64
	NowMs   int64
	HasMore bool `json:",omitempty"`
}

type rowName struct{ table, part, key string }

// pageRows is the most rows in one answer to rows-get.
const pageRows = 500

// answerTime is how long an answer takes.
const answerTime = 4 * time.Millisecond

// store is a sound store of the platform.
type store struct {
	address string
	began   time.Time
	mu      sync.Mutex
	rows    map[rowName]row
	version int64
	changed chan struct{}
	down    bool // answers 503
}

func newStore() *store {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	s := &store{address: l.Addr().String(), began: time.Now(), rows: map[rowName]row{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s
}

// put writes a row of a table of the platform, as the operator or a runner does.
func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowName{table, "", key}] = row{Table: table, Key: key, Value: raw, Ver: s.version}
	s.wake()
}

// remove drops a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowName{table, "", key}] = row{Table: table, Key: key, Ver: s.version, Tombstone: true}
	s.wake()
}

// setDown makes the store unavailable, or available again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// wake wakes the feeds that wait. The caller holds the lock.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/v1/rows-get":
		s.get(w, r)
	case "/v1/rows-feed":
		s.feed(w, r)
	case "/v1/rows-tx":
		s.tx(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer sends rows with the version and the clock of the moment at which the caller holds the lock.
func (s *store) answer(w http.ResponseWriter, status int, a rowsAnswer) {
	if a.Rows == nil {
		a.Rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

func (s *store) now() int64 { return time.Since(s.began).Milliseconds() + 5000 }

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil || limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	a := rowsAnswer{Ver: s.version, NowMs: s.now()}
	for name, row := range s.rows {
		inRange := name.key >= q.Get("From") && (q.Get("To") == "" || name.key < q.Get("To"))
		if name.table == q.Get("Table") && name.part == q.Get("part") && inRange && !row.Tombstone {
			a.Rows = append(a.Rows, row)
		}
	}
	s.mu.Unlock()
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Key < a.Rows[j].Key })
	if len(a.Rows) > limit {
		a.Rows, a.HasMore = a.Rows[:limit], true
	}
	s.answer(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		a, changed := rowsAnswer{Ver: s.version, NowMs: s.now()}, s.changed
		for name, row := range s.rows {
			if name.table == q.Get("Table") && row.Ver > after {
				a.Rows = append(a.Rows, row)
			}
		}
		s.mu.Unlock()
		if len(a.Rows) > 0 {
			sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Ver < a.Rows[j].Ver })
			s.answer(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-end:
			s.answer(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil || !t.allowed() {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, a := s.apply(t)
	s.answer(w, status, a)
}

// allowed reports whether the store takes the transaction: it has at most 100 entries, all of one part, and
// none of the platform's own tables.
func (t transaction) allowed() bool {
	parts := map[string]bool{}
	for _, e := range append(append([]expected{}, t.ExpectedRevision...), t.Remove...) {
		parts[e.Part] = true
	}
	for _, p := range t.Put {
		parts[p.Part] = true
		if p.Table == "op" || p.Table == "servers" || len(p.Value) > 65536 {
			return false
		}
	}
	return len(parts) == 1 && len(t.ExpectedRevision)+len(t.Put)+len(t.Remove) <= 100
}

// apply applies a transaction if its conditions hold.
func (s *store) apply(t transaction) (int, rowsAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := true
	var current []row
	for _, e := range t.ExpectedRevision {
		r, ok := s.rows[rowName{e.Table, e.Part, e.Key}]
		version := int64(0)
		if ok && !r.Tombstone {
			version = r.Ver
			current = append(current, r)
		}
		held = held && version == e.Ver
	}
	if !held {
		return http.StatusPreconditionFailed, rowsAnswer{Rows: current, Ver: s.version, NowMs: s.now()}
	}
	s.version++
	for _, p := range t.Put {
		p.Ver, p.Tombstone = s.version, false
		s.rows[rowName{p.Table, p.Part, p.Key}] = p
	}
	for _, e := range t.Remove {
		s.rows[rowName{e.Table, e.Part, e.Key}] = row{Table: e.Table, Part: e.Part, Key: e.Key, Ver: s.version, Tombstone: true}
	}
	s.wake()
	return http.StatusOK, rowsAnswer{Ver: s.version, NowMs: s.now()}
}
