// Package trace finds in the log lines of all VMs what happened to one request,
// and the state that it was decided on.
package trace

import (
	"bufio"
	"io"
	"sort"
	"strings"
)

// lineBytes bounds one log line.
const lineBytes = 1 << 20

// Line is one log line of key=value pairs.
type Line struct {
	Raw    string
	Fields map[string]string
}

// Parse reads the pairs of a line. Keys and text are quoted; what comes before
// the first pair is ignored.
func Parse(raw string) Line {
	l := Line{Raw: raw, Fields: map[string]string{}}
	rest := raw
	for {
		start := strings.IndexByte(rest, '"')
		if start < 0 {
			return l
		}
		rest = rest[start+1:]
		key, after, ok := strings.Cut(rest, `"=`)
		if !ok {
			return l
		}
		var value string
		value, rest = cutValue(after)
		l.Fields[key] = value
	}
}

// cutValue returns a value and what follows it.
func cutValue(text string) (value, rest string) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest
	}
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return text[1:i], text[i+1:]
		}
	}
	return text[1:], ""
}

// Trace is what the logs say of one request.
type Trace struct {
	Lines []Line // of the request itself, in order of time
	State []Line // what its VM believed then: newest line of each kind and subject before the request's end
}

// beliefs are the messages that change what a VM believes, with the field that
// names their subject.
var beliefs = []struct{ message, subject string }{
	{"configuration", ""},
	{"endpoint", "endpoint"},
	{"endpoint avoided", "endpoint"},
	{"endpoint missing", "endpoint"},
	{"endpoint gone", "endpoint"},
	{"budget drawn", "account"},
	{"budget borrowed", "account"},
	{"budget lent", "account"},
	{"dependency lost", "dependency"},
	{"dependency regained", "dependency"},
	{"VMs counted", ""},
	{"started", ""},
	{"stopping", ""},
}

// Read reads log lines and returns the trace of a request.
func Read(in io.Reader, id string) (Trace, error) {
	var all []Line
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, lineBytes)
	for scanner.Scan() {
		l := Parse(scanner.Text())
		if l.Fields["ts"] != "" {
			all = append(all, l)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Fields["ts"] < all[j].Fields["ts"] })
	s := Trace{}
	subjects := map[string]bool{}
	for _, l := range all {
		if l.Fields["id"] != id && l.Fields["request"] != id {
			continue
		}
		s.Lines = append(s.Lines, l)
		for _, field := range []string{"endpoint", "account"} {
			subjects[l.Fields[field]] = true
		}
	}
	if len(s.Lines) > 0 {
		s.State = stateBefore(all, s.Lines, subjects)
	}
	return s, scanner.Err()
}

// stateBefore returns the newest beliefs of the request's VMs about its subjects.
func stateBefore(all, own []Line, subjects map[string]bool) []Line {
	end := own[len(own)-1].Fields["ts"]
	vms := map[string]bool{}
	for _, l := range own {
		vms[l.Fields["vm"]] = true
	}
	newest := map[string]Line{}
	for _, l := range all {
		if !vms[l.Fields["vm"]] || l.Fields["ts"] > end {
			continue
		}
		for _, b := range beliefs {
			if l.Fields["msg"] == b.message && (b.subject == "" || b.subject == "dependency" || subjects[l.Fields[b.subject]]) {
				newest[l.Fields["vm"]+b.message+l.Fields[b.subject]] = l
			}
		}
	}
	lines := make([]Line, 0, len(newest))
	for _, l := range newest {
		lines = append(lines, l)
	}
	sort.Slice(lines, func(i, j int) bool { return lines[i].Fields["ts"] < lines[j].Fields["ts"] })
	return lines
}
