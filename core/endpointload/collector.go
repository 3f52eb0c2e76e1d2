package endpointload

import (
	"slices"
	"time"
)

const (
	// reportTTL is how long a report or a domain's sum counts. VMs with requests
	// in flight report every 400 ms, so that two reports may be lost.
	reportTTL = 1200 * time.Millisecond
	// maxEndpoints bounds the endpoints whose speed is known, and the entries of
	// one domain's sum.
	maxEndpoints = 2048
	// maxEntries bounds the entries of all reports together, of about 100 bytes
	// each.
	maxEntries = 32_768
	// maxVMs and maxSums bound the VMs and the collectors that are known.
	maxVMs  = 1024
	maxSums = 64
	// maxObservations bounds the observations that are taken from one report.
	maxObservations = 64
)

// Collector adds up the loads of one failure domain's VMs and of the other
// domains. It is not safe for concurrent use.
type Collector struct {
	domain   string
	sequence int64
	reports  map[string]received // by VM
	entries  int                 // of all reports
	total    map[string]Load     // sum of reports, by endpoint id
	sums     []receivedSum       // the latest of each other collector
	speeds   map[string]*speed   // by endpoint id, from own reports
}

// received is the latest report of a VM.
type received struct {
	sequence int64
	at       time.Time
	loads    map[string]Load
}

// receivedSum is the latest sum of another collector.
type receivedSum struct {
	sum DomainSum
	at  time.Time
}

// NewCollector returns the collector of a failure domain.
func NewCollector(domain string) *Collector {
	return &Collector{
		domain: domain, reports: map[string]received{}, total: map[string]Load{},
		speeds: map[string]*speed{},
	}
}

// Apply takes in a report. It ignores a report that is not newer than the VM's
// last one, unless that has expired, and reports of other failure domains, whose
// own collectors count them.
func (c *Collector) Apply(r Report, now time.Time) {
	c.expire(now)
	last, known := c.reports[r.VM]
	if r.Domain != c.domain || known && r.Sequence <= last.sequence || !known && len(c.reports) >= maxVMs {
		return
	}
	c.remove(r.VM)
	loads := clippedLoads(r.Loads, maxEntries-c.entries)
	c.reports[r.VM] = received{r.Sequence, now, loads}
	c.entries += len(loads)
	for id, l := range loads {
		c.total[id] = c.total[id].Plus(l)
	}
	c.observe(r.Observations, now)
}

// clippedLoads returns at most limit of the loads, without those that are empty.
func clippedLoads(loads map[string]Load, limit int) map[string]Load {
	kept := make(map[string]Load, min(len(loads), limit))
	for id, l := range loads {
		if len(kept) >= limit {
			break
		}
		if l = l.Clipped(); l != (Load{}) {
			kept[id] = l
		}
	}
	return kept
}

// remove removes the report of a VM.
func (c *Collector) remove(vm string) {
	r := c.reports[vm]
	for id, l := range r.loads {
		rest := c.total[id].minus(l)
		if rest == (Load{}) {
			delete(c.total, id)
			continue
		}
		c.total[id] = rest
	}
	c.entries -= len(r.loads)
	delete(c.reports, vm)
}

// expire removes what is too old.
func (c *Collector) expire(now time.Time) {
	for vm, r := range c.reports {
		if now.Sub(r.at) > reportTTL {
			c.remove(vm)
		}
	}
	c.sums = slices.DeleteFunc(c.sums, func(s receivedSum) bool { return now.Sub(s.at) > reportTTL })
}

// observe learns the speeds of endpoints.
func (c *Collector) observe(list []Observation, now time.Time) {
	for _, o := range list[:min(len(list), maxObservations)] {
		if !o.valid() {
			continue
		}
		s := c.speeds[o.Endpoint]
		if s == nil {
			if c.forgetSpeeds(now); len(c.speeds) >= maxEndpoints {
				continue
			}
			s = &speed{}
			c.speeds[o.Endpoint] = s
		}
		s.observe(o, now)
	}
}

// forgetSpeeds removes the speeds of endpoints that have not been observed for
// long.
func (c *Collector) forgetSpeeds(now time.Time) {
	for id, s := range c.speeds {
		if now.Sub(s.updatedAt) > speedTTL {
			delete(c.speeds, id)
		}
	}
}

// SummaryFor returns what others than the named VM have at each endpoint, and
// the speeds that are known.
func (c *Collector) SummaryFor(vm string, now time.Time) Summary {
	c.expire(now)
	loads := make(map[string]Load, len(c.total))
	for id, l := range c.total {
		loads[id] = l.minus(c.reports[vm].loads[id])
	}
	samples := c.samples()
	for _, s := range c.sums {
		for id, l := range s.sum.Loads {
			loads[id] = loads[id].Plus(l)
		}
		for id, p := range s.sum.Speeds {
			samples[id] = append(samples[id], p)
		}
	}
	return summary(loads, samples)
}

// samples returns the speeds that this collector has observed, by endpoint id.
func (c *Collector) samples() map[string][]SpeedSample {
	samples := make(map[string][]SpeedSample, len(c.speeds))
	for id, s := range c.speeds {
		samples[id] = []SpeedSample{s.sample()}
	}
	return samples
}

// summary returns the entries of all endpoints that have load or a speed.
func summary(loads map[string]Load, samples map[string][]SpeedSample) Summary {
	entries := make(map[string]Entry, len(loads))
	for id, l := range loads {
		if l != (Load{}) {
			entries[id] = Entry{Load: l.Clipped()}
		}
	}
	for id, list := range samples {
		if speed := merged(list); speed != 0 {
			entries[id] = Entry{entries[id].Load, speed}
		}
	}
	return Summary{entries}
}

// DomainSum returns the sum of the VMs of this failure domain.
func (c *Collector) DomainSum(now time.Time) DomainSum {
	c.expire(now)
	c.forgetSpeeds(now)
	c.sequence++
	loads := make(map[string]Load, len(c.total))
	for id, l := range c.total {
		loads[id] = l.Clipped()
	}
	speeds := make(map[string]SpeedSample, len(c.speeds))
	for id, s := range c.speeds {
		speeds[id] = s.sample()
	}
	return DomainSum{Domain: c.domain, Sequence: c.sequence, Loads: loads, Speeds: speeds}
}

// ApplyDomain takes in the sum of another failure domain. It ignores a sum that
// is not newer than the collector's last one, unless that has expired, and sums
// of this domain.
func (c *Collector) ApplyDomain(s DomainSum, now time.Time) {
	c.expire(now)
	i := slices.IndexFunc(c.sums, func(o receivedSum) bool { return o.sum.Domain == s.Domain && o.sum.VM == s.VM })
	known := i >= 0
	if s.Domain == c.domain || known && s.Sequence <= c.sums[i].sum.Sequence || !known && len(c.sums) >= maxSums {
		return
	}
	s.Loads = clippedLoads(s.Loads, maxEndpoints)
	s.Speeds = clippedSamples(s.Speeds)
	if !known {
		c.sums = append(c.sums, receivedSum{s, now})
		return
	}
	c.sums[i] = receivedSum{s, now}
}

// clippedSamples returns at most maxEndpoints of the samples that have weight.
func clippedSamples(samples map[string]SpeedSample) map[string]SpeedSample {
	kept := make(map[string]SpeedSample, min(len(samples), maxEndpoints))
	for id, s := range samples {
		if len(kept) >= maxEndpoints {
			break
		}
		if s = s.clipped(); s.Weight > 0 {
			kept[id] = s
		}
	}
	return kept
}
