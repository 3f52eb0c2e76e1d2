package loadexchange

import (
	"math"

	"google.golang.org/protobuf/proto"

	"hawthornspar/core/endpointload"
	"hawthornspar/io/loadexchange/wire"
)

const (
	// maxMessageBytes bounds a message: maxEntries entries with room to spare.
	maxMessageBytes = 128 << 10
	// maxDomainBytes bounds the name of a failure domain in a message.
	maxDomainBytes = 128
	// maxObservations bounds the observations in one message, which are sent with
	// every exchange.
	maxObservations = 64
)

// encodeReport returns the message of a report.
func encodeReport(r endpointload.Report) ([]byte, error) {
	w := writer{unit: 1}
	for id, l := range r.Loads {
		w.add(id, l, endpointload.SpeedSample{})
	}
	m := &wire.Report{Domain: r.Domain, Sequence: uint64(r.Sequence), Entries: w.finish()}
	if len(r.Observations) > 0 {
		m.Observations = encodeObservations(r.Observations)
	}
	return proto.Marshal(m)
}

func encodeObservations(list []endpointload.Observation) *wire.Observations {
	m := &wire.Observations{}
	for _, o := range list[:min(len(list), maxObservations)] {
		m.Endpoints = append(m.Endpoints, hashOf(o.Endpoint))
		m.PredictedMs = append(m.PredictedMs, wholeMs(o.PredictedMs))
		m.ActualMs = append(m.ActualMs, wholeMs(o.ActualMs))
	}
	return m
}

// wholeMs rounds a time to milliseconds, at least one as zero would not count.
func wholeMs(ms float64) uint32 { return uint32(min(max(math.Round(ms), 1), math.MaxUint32)) }

// decodeReport returns the report of a VM.
func decodeReport(raw []byte, vm string, known map[uint32]string) (endpointload.Report, error) {
	var m wire.Report
	if err := proto.Unmarshal(raw, &m); err != nil {
		return endpointload.Report{}, &MessageError{Problem: err.Error()}
	}
	if err := checkHead(m.Domain, m.Sequence); err != nil {
		return endpointload.Report{}, err
	}
	list, err := read(m.Entries, 1, known)
	if err != nil {
		return endpointload.Report{}, err
	}
	r := endpointload.Report{VM: vm, Domain: m.Domain, Sequence: int64(m.Sequence), Loads: loadsOf(list)}
	r.Observations, err = decodeObservations(m.Observations, known)
	return r, err
}

// checkHead refuses a message without domain and sequence.
func checkHead(domain string, sequence uint64) error {
	if domain == "" || len(domain) > maxDomainBytes {
		return &MessageError{Problem: "failure domain missing or too long"}
	}
	if sequence == 0 || sequence > math.MaxInt64 {
		return &MessageError{Problem: "sequence out of range"}
	}
	return nil
}

func decodeObservations(m *wire.Observations, known map[uint32]string) ([]endpointload.Observation, error) {
	n := len(m.GetEndpoints())
	if n > maxObservations || len(m.GetPredictedMs()) != n || len(m.GetActualMs()) != n {
		return nil, &MessageError{Problem: "observations of unequal lengths, or too many"}
	}
	var list []endpointload.Observation
	for i, h := range m.GetEndpoints() {
		if id, ok := known[h]; ok {
			list = append(list, endpointload.Observation{Endpoint: id, PredictedMs: float64(m.PredictedMs[i]), ActualMs: float64(m.ActualMs[i])})
		}
	}
	return list, nil
}

// encodeSummary returns the message of a summary.
func encodeSummary(s endpointload.Summary) ([]byte, error) {
	w := writer{unit: tokensPerUnit}
	for id, e := range s.Entries {
		w.add(id, e.Load, endpointload.SpeedSample{Speed: e.Speed})
	}
	return proto.Marshal(&wire.Summary{Entries: w.finish()})
}

// decodeSummary returns the summary in a message.
func decodeSummary(raw []byte, known map[uint32]string) (endpointload.Summary, error) {
	var m wire.Summary
	if err := proto.Unmarshal(raw, &m); err != nil {
		return endpointload.Summary{}, &MessageError{Problem: err.Error()}
	}
	list, err := read(m.Entries, tokensPerUnit, known)
	if err != nil {
		return endpointload.Summary{}, err
	}
	entries := make(map[string]endpointload.Entry, len(list))
	for _, e := range list {
		entries[e.id] = endpointload.Entry{Load: e.load, Speed: e.sample.Speed}
	}
	return endpointload.Summary{Entries: entries}, nil
}

// encodeDomainSum returns the message of a domain's sum.
func encodeDomainSum(s endpointload.DomainSum) ([]byte, error) {
	w := writer{unit: tokensPerUnit}
	for id, l := range s.Loads {
		w.add(id, l, s.Speeds[id])
	}
	for id, sample := range s.Speeds {
		if _, added := s.Loads[id]; !added {
			w.add(id, endpointload.Load{}, sample)
		}
	}
	return proto.Marshal(&wire.DomainSum{Domain: s.Domain, Sequence: uint64(s.Sequence), Entries: w.finish()})
}

// decodeDomainSum returns the sum of a failure domain that the named collector sent.
func decodeDomainSum(raw []byte, vm string, known map[uint32]string) (endpointload.DomainSum, error) {
	var m wire.DomainSum
	if err := proto.Unmarshal(raw, &m); err != nil {
		return endpointload.DomainSum{}, &MessageError{Problem: err.Error()}
	}
	if err := checkHead(m.Domain, m.Sequence); err != nil {
		return endpointload.DomainSum{}, err
	}
	list, err := read(m.Entries, tokensPerUnit, known)
	if err != nil {
		return endpointload.DomainSum{}, err
	}
	s := endpointload.DomainSum{Domain: m.Domain, VM: vm, Sequence: int64(m.Sequence), Loads: loadsOf(list), Speeds: map[string]endpointload.SpeedSample{}}
	for _, e := range list {
		if e.sample.Speed > 0 && e.sample.Weight > 0 {
			s.Speeds[e.id] = e.sample
		}
	}
	return s, nil
}

// loadsOf returns the loads of entries by endpoint id.
func loadsOf(list []entry) map[string]endpointload.Load {
	loads := make(map[string]endpointload.Load, len(list))
	for _, e := range list {
		if e.load != (endpointload.Load{}) {
			loads[e.id] = e.load
		}
	}
	return loads
}
