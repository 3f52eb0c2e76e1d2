package loadexchange

import (
	"math"

	"hawthornspar/core/endpointload"
	"hawthornspar/io/loadexchange/wire"
)

const (
	// tokensPerUnit is the unit of tokens in sums. It saves a byte for each
	// number, and 16 tokens are read in less than a millisecond.
	tokensPerUnit = 16
	// maxEntries bounds the endpoints in one message.
	maxEntries = 4096
	// percent is the unit of speeds in messages.
	percent = 100
)

// writer builds the columns of a message.
type writer struct {
	unit    int64 // tokens that one unit stands for
	entries wire.Entries
}

// add adds an endpoint. It leaves out an endpoint with nothing to say.
func (w *writer) add(id string, l endpointload.Load, s endpointload.SpeedSample) {
	e := &w.entries
	running, prefill, held := uint32(max(l.Running, 0)), w.units(l.PrefillTokens), w.units(l.HeldTokens)
	speed, weight := uint32(math.Round(s.Speed*percent)), uint32(math.Round(s.Weight))
	if running == 0 && prefill == 0 && held == 0 && speed == 0 || len(e.Endpoints) == maxEntries {
		return
	}
	e.Endpoints = append(e.Endpoints, hashOf(id))
	e.Running = append(e.Running, running)
	e.PrefillTokens = append(e.PrefillTokens, prefill)
	e.HeldTokens = append(e.HeldTokens, held)
	e.SpeedPercent = append(e.SpeedPercent, speed)
	e.SpeedWeight = append(e.SpeedWeight, weight)
}

// units converts tokens to the nearest number of units, at least one for any.
func (w *writer) units(tokens int64) uint64 {
	if tokens <= 0 {
		return 0
	}
	return uint64(max((tokens+w.unit/2)/w.unit, 1))
}

// finish returns the columns, without those that have only zeros.
func (w *writer) finish() *wire.Entries {
	e := &w.entries
	e.Running = unlessZero(e.Running)
	e.PrefillTokens = unlessZero(e.PrefillTokens)
	e.HeldTokens = unlessZero(e.HeldTokens)
	e.SpeedPercent = unlessZero(e.SpeedPercent)
	e.SpeedWeight = unlessZero(e.SpeedWeight)
	return e
}

// unlessZero returns a column, or nil if it has only zeros.
func unlessZero[T uint32 | uint64](column []T) []T {
	for _, v := range column {
		if v != 0 {
			return column
		}
	}
	return nil
}

// entry is what a message says of one endpoint.
type entry struct {
	id     string
	load   endpointload.Load
	sample endpointload.SpeedSample
}

// read returns the entries of known endpoints. It refuses columns of unequal
// lengths.
func read(e *wire.Entries, unit int64, known map[uint32]string) ([]entry, error) {
	n := len(e.GetEndpoints())
	if n > maxEntries {
		return nil, &MessageError{Problem: "too many entries"}
	}
	for _, length := range []int{len(e.GetRunning()), len(e.GetPrefillTokens()), len(e.GetHeldTokens()), len(e.GetSpeedPercent()), len(e.GetSpeedWeight())} {
		if length != 0 && length != n {
			return nil, &MessageError{Problem: "columns of unequal lengths"}
		}
	}
	list := make([]entry, 0, n)
	for i, h := range e.GetEndpoints() {
		id, ok := known[h]
		if !ok {
			continue
		}
		list = append(list, entry{
			id: id,
			load: endpointload.Load{
				Running:       int(at(e.Running, i)),
				PrefillTokens: tokens(at(e.PrefillTokens, i), unit),
				HeldTokens:    tokens(at(e.HeldTokens, i), unit),
			}.Clipped(),
			sample: endpointload.SpeedSample{Speed: float64(at(e.SpeedPercent, i)) / percent, Weight: float64(at(e.SpeedWeight, i))},
		})
	}
	return list, nil
}

// at returns a value of a column, which may be empty.
func at[T any](column []T, i int) (value T) {
	if len(column) == 0 {
		return value
	}
	return column[i]
}

// tokens converts units to tokens. Numbers that overflow become the largest.
func tokens(units uint64, unit int64) int64 {
	if units > uint64(math.MaxInt64/unit) {
		return math.MaxInt64
	}
	return int64(units) * unit
}
