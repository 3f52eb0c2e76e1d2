package gateway

import (
	"bytes"
	"iter"
	"strconv"
)

// Syntax of server-sent events.
var (
	eventEnd     = []byte("\n\n")
	eventIDField = []byte("id:")
)

// eventIDs returns the ids of complete events, in order.
func eventIDs(events []byte) iter.Seq[string] {
	return func(yield func(string) bool) {
		for line := range bytes.SplitSeq(events, []byte("\n")) {
			id, ok := bytes.CutPrefix(line, eventIDField)
			if ok && !yield(string(bytes.TrimSpace(id))) {
				return
			}
		}
	}
}

// repeatsEvents reports whether the first of complete events is not after the event with
// the id last. Ids that are not numbers are not compared.
func repeatsEvents(events []byte, last string) bool {
	lastNumber, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return false
	}
	for id := range eventIDs(events) {
		number, err := strconv.ParseInt(id, 10, 64)
		return err == nil && number <= lastNumber
	}
	return false
}

// onlyComments reports whether an event has no field.
func onlyComments(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}
