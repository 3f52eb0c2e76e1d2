package quarantine

import "time"

// Progress is how far an endpoint has come with the response to a request. It is zero
// until the response has begun: until the first event of a stream, or the head of any
// other response.
type Progress struct {
	Bytes int64 `json:"bytes,omitempty"` // of the body; of a stream those of its events
	Ms    int64 `json:"ms,omitempty"`    // since the response began
}

// furthest returns the larger of each figure.
func (p Progress) furthest(q Progress) Progress {
	return Progress{max(p.Bytes, q.Bytes), max(p.Ms, q.Ms)}
}

// A response that still runs has passed a progress when it has come some way further:
// VMs see the same moment of two responses at slightly different progress.
const (
	passingFactor = 2
	passingMargin = 50 * time.Millisecond
)

// NextCheckpoint returns the least progress that shows that a run has passed p. A run is
// recorded as sound at checkpoint after checkpoint.
func (p Progress) NextCheckpoint() Progress {
	return Progress{passingFactor*p.Bytes + 1, passingFactor*p.Ms + passingMargin.Milliseconds()}
}

// Reaches reports whether p is not behind q in either figure.
func (p Progress) Reaches(q Progress) bool { return p.Bytes >= q.Bytes && p.Ms >= q.Ms }

// Run is what became of a request at an endpoint.
type Run struct {
	Features []Feature
	Request  string // id of the request; empty if unknown
	Reached  Progress
	Ended    bool // the response is complete
}

// Pass is a run that an endpoint has survived so far.
type Pass struct {
	StoreMs int64 `json:"storeMs"` // on the store's clock, when it had come as far as Reached
	Progress
	Ended bool `json:"ended,omitempty"`
}

// refutes reports whether the run is evidence that a feature did not cause a crash after
// which the run passed the progress at which the feature's requests were caught.
func (p Pass) refutes(atMs int64, caught Progress) bool {
	if !p.passedSince(atMs, caught) {
		return false
	}
	return p.Ended && p.Bytes >= caught.Bytes || p.Reaches(caught.NextCheckpoint())
}

// passedSince reports whether the run went on after a crash and had not passed the
// progress of those that were caught before.
func (p Pass) passedSince(atMs int64, caught Progress) bool {
	return p.StoreMs > atMs && p.begunMs()+caught.Ms >= atMs
}

// endedSince reports whether the run is complete and passed a progress after a crash, if
// it came as far.
func (p Pass) endedSince(atMs int64, caught Progress) bool {
	return p.Ended && p.passedSince(atMs, caught)
}
