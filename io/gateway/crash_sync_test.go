package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"hawthornspar/core/quarantine"
)

// refusingStore fails each write with err.
type refusingStore struct {
	Store
	err      error
	rejected bool
}

func (s refusingStore) WriteCrashes(context.Context, []quarantine.Write) error { return s.err }
func (s refusingStore) Rejected(error) bool                                    { return s.rejected }

var _ = Describe("crashWriter", func() {
	for _, c := range []struct {
		name    string
		store   refusingStore
		pending int
	}{
		{"forgets what is written", refusingStore{}, 0},
		{"keeps what a failing store has not taken", refusingStore{err: errors.New("down")}, 1},
		// Guards against a change that the store never takes and that holds up all others.
		{"drops what the store rejects", refusingStore{err: errors.New("key too long"), rejected: true}, 0},
	} {
		It(c.name, func() {
			g := &Gateway{store: c.store, log: logr.Discard(), state: newState(Settings{Name: "vm0"}), crashesRecorded: make(chan struct{}, 1)}
			g.state.setCrashClock(1000)
			g.state.mu.Lock()
			g.state.quarantine.RecordCrash(quarantine.Run{Features: []quarantine.Feature{"part:f"}}, quarantine.Incarnation{Endpoint: "e", Born: 1}, time.Now())
			g.state.mu.Unlock()
			w := &crashWriter{g}
			pending, _ := g.state.pendingCrashes(10)
			w.write(context.Background(), pending)
			pending, _ = g.state.pendingCrashes(10)
			Expect(pending).To(HaveLen(c.pending), fmt.Sprint(c.store.err))
		})
	}
})
