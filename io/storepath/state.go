package storepath

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// refused reports whether a response of the store shows that it refuses this VM.
func (t *Transport) refused(r *http.Response) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.StatusCode != http.StatusTooManyRequests {
		t.refusals = 0
		return r.StatusCode == http.StatusServiceUnavailable
	}
	t.refusals++
	return t.refusals >= maxRefusals
}

// relayFirst reports whether a request takes the path through another VM without
// a try of the direct one. One request in each directPause tries the direct path.
func (t *Transport) relayFirst(now time.Time) bool {
	if !t.mayRelay(now) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failedAt.IsZero() {
		return false
	}
	if now.Before(t.retryAt) {
		return true
	}
	t.retryAt = now.Add(directPause)
	return false
}

// mayRelay reports whether the path through another VM may be used.
func (t *Transport) mayRelay(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers != nil && !now.Before(t.relayAt)
}

// recordDirect records the result of a request on the direct path. One that its
// caller has given up shows a failure only if its time was used up.
func (t *Transport) recordDirect(ctx context.Context, failed bool, now time.Time) {
	if failed && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !failed {
		t.failedAt = time.Time{}
		t.change(Direct)
		return
	}
	t.failedAt = now
	t.retryAt = now.Add(directPause)
}

// change records the path of a request that succeeded. The caller holds the lock.
func (t *Transport) change(to Path) {
	if t.path != to {
		t.path = to
		t.observe(to)
	}
}

// recordRelay records the VM that passed a request on; empty if none did.
func (t *Transport) recordRelay(base string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relayed = base
	if base != "" {
		t.failures = 0
		t.change(Relayed)
		return
	}
	t.relayAt = time.Now().Add(relayPause << min(t.failures, maxRelayDoublings))
	t.failures++
}

// directFailing reports whether the direct path failed when it was last used.
func (t *Transport) directFailing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.failedAt.IsZero()
}
