package gateway

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"hawthornspar/core/revision"
)

// historyStore knows which errors mean that the store's history is lost.
type historyStore struct{ Store }

var errHistoryLost = errors.New("history lost")

func (historyStore) HistoryLost(err error) bool { return errors.Is(err, errHistoryLost) }

// scriptedTable returns the results of watches in turn, and records the calls.
type scriptedTable struct {
	results []scriptedResult
	calls   []int64 // numbers of the versions of watches; -1 for a read
}

type scriptedResult struct {
	number int64 // of the version
	err    error
}

func (s *scriptedTable) read(context.Context) (revision.Version, error) {
	s.calls = append(s.calls, -1)
	return revision.Version{Number: 10}, nil
}

func (s *scriptedTable) watch(_ context.Context, version revision.Version) (revision.Version, time.Duration, error) {
	s.calls = append(s.calls, version.Number)
	r := s.results[0]
	s.results = s.results[1:]
	return revision.Version{Number: r.number}, 0, r.err
}

var _ = Describe("watcher", func() {
	failure := errors.New("no response")
	for _, c := range []struct {
		name    string
		results []scriptedResult
		calls   []int64
	}{
		{"continues from the version of the last changes", []scriptedResult{{12, nil}, {13, nil}}, []int64{-1, 10, 12}},
		{"asks again for changes whose response was lost", []scriptedResult{{0, failure}, {12, nil}}, []int64{-1, 10, 10}},
		{"reads the table again when the history is lost", []scriptedResult{{0, errHistoryLost}, {12, nil}}, []int64{-1, 10, -1, 10}},
		{"passes over changes that cannot be read", []scriptedResult{{12, failure}, {13, nil}}, []int64{-1, 10, 12}},
	} {
		It(c.name, func() {
			t := &scriptedTable{results: c.results}
			w := &watcher{gateway: &Gateway{store: historyStore{}, log: logr.Discard()}, table: t, timeout: time.Second, store: &dependency{name: "test"}}
			for len(t.results) > 0 {
				_, err := w.step(context.Background())
				w.record(err)
			}
			Expect(t.calls).To(Equal(c.calls))
		})
	}
})
