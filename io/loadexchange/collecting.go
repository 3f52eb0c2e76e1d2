package loadexchange

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hawthornspar/core/endpointload"
)

// collectingTime is how long after the last report a VM goes on as a collector.
const collectingTime = time.Second

// collecting is this VM's part as a collector. Any VM may be asked at any time, as VMs
// learn at different times which VMs are registered.
type collecting struct {
	domain     string
	mu         sync.Mutex
	collector  *endpointload.Collector
	reportedAt time.Time            // of the last report
	sums       map[string]time.Time // when the last sum of another collector arrived, by VM name
}

func newCollecting(domain string) *collecting {
	return &collecting{domain: domain, collector: endpointload.NewCollector(domain), sums: map[string]time.Time{}}
}

// active reports whether there were reports within collectingTime.
func (c *collecting) active(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.reportedAt.IsZero() && now.Sub(c.reportedAt) <= collectingTime
}

func (c *collecting) apply(r endpointload.Report, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.collector.Apply(r, now)
	c.reportedAt = now
}

func (c *collecting) summaryFor(vm string, now time.Time) endpointload.Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.collector.SummaryFor(vm, now)
}

func (c *collecting) domainSum(now time.Time) endpointload.DomainSum {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.collector.DomainSum(now)
}

// applySum takes in the sum of another collector. That of this domain counts like that of
// a domain of its own: a VM reports to one collector at a time, and its sum has only what
// was reported to itself.
func (c *collecting) applySum(s endpointload.DomainSum, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Domain == c.domain {
		s.Domain += "/" + s.VM
	}
	c.collector.ApplyDomain(s, now)
	c.sums[s.VM] = now
	for vm, at := range c.sums {
		if now.Sub(at) > collectingTime {
			delete(c.sums, vm)
		}
	}
}

// sumAge returns the age of the last sum of a collector, and whether there is one.
func (c *collecting) sumAge(vm string, now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.sums[vm]
	return now.Sub(at), ok
}

// ServeHTTP handles the requests of other VMs, which have presented a certificate of the
// fleet.
func (e *Exchanger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()
	if leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.Method == http.MethodGet {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	response, err := e.answer(r)
	var malformed *MessageError
	if errors.As(err, &malformed) {
		e.metrics.Increment("load_messages_refused", r.URL.Path)
		e.log.V(1).Info("load message refused", "from", senderOf(r), "path", r.URL.Path, "error", err.Error())
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header()["Content-Type"] = nil // keeps the server from guessing a type
	if _, err := w.Write(response); err != nil {
		e.log.V(1).Info("load response not written", "to", senderOf(r), "error", err.Error())
	}
}

// senderOf returns the VM name in the sender's certificate; empty if there is none.
func senderOf(r *http.Request) string {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return ""
	}
	return r.TLS.PeerCertificates[0].Subject.CommonName
}

// answer takes in the message of a request and returns the response to it.
func (e *Exchanger) answer(r *http.Request) ([]byte, error) {
	from := senderOf(r)
	if from == "" {
		return nil, &MessageError{Problem: "no certificate"}
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxMessageBytes+1))
	if err != nil {
		return nil, &MessageError{Problem: err.Error()}
	}
	if len(raw) > maxMessageBytes {
		return nil, &MessageError{Problem: "too large"}
	}
	known, now := e.directory.index(), time.Now()
	if r.URL.Path == SumPath {
		s, err := decodeDomainSum(raw, from, known)
		if err != nil {
			return nil, err
		}
		e.collecting.applySum(s, now)
		return encodeDomainSum(e.collecting.domainSum(now))
	}
	report, err := decodeReport(raw, from, known)
	if err != nil {
		return nil, err
	}
	if report.Domain != e.domain {
		return nil, &MessageError{Problem: "report of another failure domain"}
	}
	e.collecting.apply(report, now)
	return encodeSummary(e.collecting.summaryFor(from, now))
}
