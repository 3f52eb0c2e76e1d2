package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Times and limits of the store, as PROTOCOL.md and the site files state them.
const (
	answerTime      = 4 * time.Millisecond
	transactionTime = 5 * time.Millisecond
	historyTime     = 20 * time.Second
	maxRows         = 500
	copyPeriod      = 100 * time.Millisecond
	maxEntries      = 100
)

// row is a row of the store, as the wire has it.
type row struct {
	Table     string
	Part      string `json:"part"`
	Key       string
	Value     []byte `json:",omitempty"`
	Ver       int64
	Tombstone bool `json:",omitempty"`
}

// rowKey identifies a row.
type rowKey struct{ table, part, key string }

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// rowList is the store's answer about rows.
type rowList struct {
	Rows    []row
	HasMore bool
	Ver     int64
	NowMs   int64
}

// transaction is the body of POST /v1/rows-tx.
type transaction struct {
	ExpectedRevision, Put, Remove []row
	Across                        bool
}

// backup is a copy of the store at one moment.
type backup struct {
	at      time.Time
	rows    map[rowKey]row
	version int64
}

// store is a stand-in for the platform's store.
type store struct {
	address string
	record  *recorder
	started time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	version int64
	era     int
	changed chan struct{}
	copies  []backup
	outside []outsideWrite // what the operator and the runners wrote, in order
	history []change
	away    bool
	server  *http.Server
}

// outsideWrite is a write of the operator or a runner.
type outsideWrite struct {
	at  time.Time
	row row
}

// change notes when a version was given out, so that history can be dropped.
type change struct {
	at      time.Time
	version int64
}

func newStore(address string, rec *recorder) *store {
	s := &store{address: address, record: rec, started: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{}), era: 1}
	s.listen()
	go s.copyLoop()
	return s
}

func (s *store) listen() {
	l, err := net.Listen("tcp4", s.address)
	if err != nil {
		cannotRun("store: " + err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.server = &http.Server{Handler: s}
	go s.server.Serve(l)
}

// copyLoop keeps copies of the last seconds, from which a drill restores.
func (s *store) copyLoop() {
	for ; ; time.Sleep(copyPeriod) {
		s.mu.Lock()
		if !s.away {
			s.copies = append(s.copies, backup{time.Now(), maps.Clone(s.rows), s.version})
			if len(s.copies) > 100 {
				s.copies = s.copies[1:]
			}
		}
		s.mu.Unlock()
	}
}

// drill takes the store away for a moment, in which it refuses connections or, if it is
// silent, accepts them and answers nothing that was sent until then. It comes
// back from a copy of the given age.
// What the operator and the runners wrote is written again before it serves.
func (s *store) drill(age, away time.Duration, silent bool) {
	s.mu.Lock()
	s.away = true
	server, before := s.server, s.version
	s.mu.Unlock()
	if !silent {
		server.Close()
	}
	time.Sleep(away)
	s.mu.Lock()
	chosen := s.copies[0]
	for _, c := range s.copies {
		if !c.at.After(time.Now().Add(-away - age)) {
			chosen = c
		}
	}
	s.rows, s.version = maps.Clone(chosen.rows), chosen.version
	s.era++
	s.history = nil
	for _, o := range s.outside {
		if o.at.After(chosen.at) {
			s.apply(o.row)
		}
	}
	s.copies = nil
	s.away = false
	s.record.note("store drill: versions went back from %d to %d, after the rewrite %d, era %d, copy %.1f s old", before, chosen.version, s.version, s.era, time.Since(chosen.at).Seconds()-away.Seconds())
	s.mu.Unlock()
	if !silent {
		s.listen()
	}
}

// apply writes a row with the next version. The caller holds the lock.
func (s *store) apply(r row) {
	s.version++
	r.Ver = s.version
	s.rows[r.id()] = r
	s.note()
}

// note records the newest version and wakes the feeds. The caller holds the lock.
func (s *store) note() {
	s.history = append(s.history, change{time.Now(), s.version})
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes a row as the operator or a runner does, and reports whether the store has
// accepted it.
func (s *store) write(table, key string, value any) bool {
	raw, err := json.Marshal(value)
	if err != nil {
		cannotRun(err.Error())
	}
	return s.put(row{Table: table, Key: key, Value: raw})
}

// remove removes a row, as the platform does for a runner that has left.
func (s *store) remove(table, key string) bool {
	return s.put(row{Table: table, Key: key, Tombstone: true})
}

func (s *store) put(r row) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.outside = append(s.outside, outsideWrite{time.Now(), r})
	s.apply(r)
	return true
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	switch r.URL.Path {
	case "/v1/rows-tx":
		s.transact(w, r)
	case "/v1/rows-get":
		s.get(w, r, q.Get("Table"), q.Get("part"), q.Get("From"), q.Get("To"))
	case "/v1/rows-feed":
		after, _ := strconv.ParseInt(q.Get("After"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("WaitMs"))
		s.feed(w, r, q.Get("Table"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// leaveIfAway keeps a request without an answer, until its sender closes the connection, while
// the store is away. The caller holds the lock, and releases it when it panics.
func (s *store) leaveIfAway(r *http.Request) {
	if !s.away {
		return
	}
	s.mu.Unlock()
	<-r.Context().Done()
	s.mu.Lock()
	panic(http.ErrAbortHandler)
}

// answer writes an answer; the caller holds the lock.
func (s *store) answer(w http.ResponseWriter, r *http.Request, status int, rows []row, more bool) {
	s.leaveIfAway(r)
	if rows == nil {
		rows = []row{}
	}
	raw, _ := json.Marshal(rowList{rows, more, s.version, time.Since(s.started).Milliseconds() + 1000})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.WriteHeader(status)
	w.Write(raw)
}

func (s *store) get(w http.ResponseWriter, r *http.Request, table, part, from, to string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, x := range s.rows {
		if x.Table == table && x.Part == part && !x.Tombstone && x.Key >= from && (to == "" || x.Key < to) {
			rows = append(rows, x)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > maxRows
	s.answer(w, r, http.StatusOK, rows[:min(len(rows), maxRows)], more)
}

// lost reports whether the history after a version is gone, or the store doesn't have the
// version. The caller holds the lock.
func (s *store) lost(after int64) bool {
	if after > s.version {
		return true
	}
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.history = s.history[1:]
	}
	return len(s.history) > 0 && after < s.history[0].version-1 && time.Since(s.started) > historyTime
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after int64, wait time.Duration) {
	timeout := time.After(wait)
	for ended := false; ; {
		changed, done := s.feedOnce(w, r, table, after, ended)
		if done {
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

// feedOnce answers a feed if there is something to say, or its time has ended.
func (s *store) feedOnce(w http.ResponseWriter, r *http.Request, table string, after int64, ended bool) (changed chan struct{}, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveIfAway(r)
	if s.lost(after) {
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
		w.WriteHeader(http.StatusGone)
		return nil, true
	}
	var rows []row
	for _, x := range s.rows {
		if x.Table == table && x.Ver > after {
			rows = append(rows, x)
		}
	}
	if len(rows) == 0 && !ended {
		return s.changed, false
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
	s.answer(w, r, http.StatusOK, rows, false)
	return nil, true
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(t.ExpectedRevision)+len(t.Put)+len(t.Remove) > maxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(transactionTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveIfAway(r)
	var current []row
	met := true
	for _, e := range t.ExpectedRevision {
		known, ok := s.rows[e.id()]
		version := known.Ver
		if !ok || known.Tombstone {
			version = 0
		} else {
			current = append(current, known)
		}
		met = met && version == e.Ver
	}
	if !met {
		s.answer(w, r, http.StatusPreconditionFailed, current, false)
		return
	}
	s.version++
	for _, p := range t.Put {
		p.Ver, p.Tombstone = s.version, false
		s.rows[p.id()] = p
	}
	for _, p := range t.Remove {
		s.rows[p.id()] = row{Table: p.Table, Part: p.Part, Key: p.Key, Ver: s.version, Tombstone: true}
	}
	s.note()
	s.answer(w, r, http.StatusOK, nil, false)
}
