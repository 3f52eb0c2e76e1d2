package gateway

import (
	"net/http"
	"time"

	"hawthornspar/core/quarantine"
)

// progress is how far an endpoint has come with the response of an attempt.
type progress struct {
	begunAt    time.Time // zero until the response has begun
	bytes      int64     // of the body; of a stream those of its events
	checkpoint quarantine.Progress
	error      bool // the response is an error, which does not show that the prompt was read
}

// reached returns the progress of an attempt by now.
func (p progress) reached() quarantine.Progress {
	if p.begunAt.IsZero() {
		return quarantine.Progress{}
	}
	return quarantine.Progress{Bytes: p.bytes, Ms: time.Since(p.begunAt).Milliseconds()}
}

// currentRun returns what has become of the current attempt.
func (x *exchange) currentRun() quarantine.Run {
	return quarantine.Run{Features: x.features(), Request: x.info.ID, Reached: x.progress.reached()}
}

// recordProgress counts bytes of the response, which has begun. While any request is
// suspect, it records the parts of the prompt as sound at each checkpoint.
func (x *exchange) recordProgress(bytes int) {
	p := &x.progress
	if p.begunAt.IsZero() {
		p.begunAt = time.Now()
		p.checkpoint = quarantine.Progress{}.NextCheckpoint()
	}
	p.bytes += int64(bytes)
	if len(x.parts) == 0 || p.error {
		return
	}
	reached := p.reached()
	if !reached.Reaches(p.checkpoint) {
		return
	}
	p.checkpoint = reached.NextCheckpoint()
	if !x.gateway.state.noSuspects() {
		x.recordSound(quarantine.Run{Features: x.parts, Request: x.info.ID, Reached: reached})
	}
}

// recordEndOfRun records that an endpoint has run the request to its end. A server error
// does not show that, and no error shows that the endpoint has read the prompt.
func (x *exchange) recordEndOfRun(response *http.Response) {
	if response.StatusCode >= http.StatusInternalServerError {
		return
	}
	var features []quarantine.Feature
	if !x.progress.error {
		features = x.parts
	}
	if !x.gateway.state.noSuspects() {
		features = append([]quarantine.Feature{x.requestFeature()}, features...)
	}
	x.recordSound(quarantine.Run{Features: features, Request: x.info.ID, Reached: x.progress.reached(), Ended: true})
}

// recordSound records how far an endpoint has come with the request.
func (x *exchange) recordSound(r quarantine.Run) {
	if len(r.Features) == 0 {
		return
	}
	g := x.gateway
	if g.state.recordSound(r) {
		g.wakeCrashWriter()
	}
	g.logVerdicts()
}
