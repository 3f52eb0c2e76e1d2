// Package trace selects, from the log lines of all VMs, the lines of one request
// and the lines that show the state on which the request's VMs acted.
package trace

import (
	"bufio"
	"io"
	"sort"
	"strings"
)

// maxLineBytes bounds the length of one log line.
const maxLineBytes = 1 << 20

// Line is a log line of "key"=value pairs.
type Line struct {
	Raw    string            // the line as read
	Fields map[string]string // values by key; strings without quotes, escapes as logged
}

// Parse parses the pairs of a log line. Keys and string values are quoted. Text
// before the first pair, such as a prefix with the VM's name, is ignored.
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

// cutValue splits text after the value that it starts with. It removes the quotes
// of a string but does not decode escapes.
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

// Trace holds the log lines that explain one request.
type Trace struct {
	Lines []Line // lines of the request itself, by time
	State []Line // state of its VMs: the newest line of each message and subject up to the request's last line
}

// stateMessages lists the messages that report a change of a VM's state. subject is
// the key of the field that names the changed item; it is empty for a message that
// concerns the whole VM.
var stateMessages = []struct{ message, subject string }{
	{"configuration", ""},
	{"endpoint", "endpoint"},
	{"endpoint avoided", "endpoint"},
	{"endpoint crashed", "endpoint"},
	{"endpoint leaving", "endpoint"},
	{"endpoint paused", "endpoint"},
	{"endpoint missing", "endpoint"},
	{"endpoint gone", "endpoint"},
	{"quarantine", "feature"},
	{"quarantine lifted", "feature"},
	{trialMessage, "feature"},
	{"budget drawn", "account"},
	{"budget borrowed", "account"},
	{"budget lent", "account"},
	{"budget moved", "from"},
	{"budget figures", "account"},
	{"dependency lost", "dependency"},
	{"dependency regained", "dependency"},
	{"VMs counted", ""},
	{"started", ""},
	{"stopping", ""},
}

// trialMessage reports a trial of a quarantined feature, which concerns all VMs.
const trialMessage = "trial"

// Read reads the log lines of any number of VMs, in any order, and returns the
// trace of the request with the given id. Lines without a time stamp are ignored.
func Read(in io.Reader, id string) (Trace, error) {
	var all []Line
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		l := Parse(scanner.Text())
		if l.Fields["ts"] != "" {
			all = append(all, l)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Fields["ts"] < all[j].Fields["ts"] })
	t := Trace{}
	subjects := map[string]bool{}
	for _, l := range all {
		if l.Fields["id"] != id && l.Fields["request"] != id {
			continue
		}
		t.Lines = append(t.Lines, l)
		for _, field := range []string{"endpoint", "account", "feature"} {
			subjects[l.Fields[field]] = true
		}
	}
	if len(t.Lines) > 0 {
		t.State = stateAt(all, t.Lines, subjects)
	}
	return t, scanner.Err()
}

// stateAt returns, for each VM in requestLines, the newest line of each state
// message and subject up to the time of the last request line. It includes lines
// about the request's subjects, about dependencies and about the whole VM, and the
// trials of its features at any VM.
func stateAt(all, requestLines []Line, subjects map[string]bool) []Line {
	end := requestLines[len(requestLines)-1].Fields["ts"]
	vms := map[string]bool{}
	for _, l := range requestLines {
		vms[l.Fields["vm"]] = true
	}
	newest := map[string]Line{}
	for _, l := range all {
		if l.Fields["ts"] > end || !vms[l.Fields["vm"]] && l.Fields["msg"] != trialMessage {
			continue
		}
		for _, m := range stateMessages {
			if l.Fields["msg"] == m.message && (m.subject == "" || m.subject == "dependency" || subjects[l.Fields[m.subject]]) {
				newest[l.Fields["vm"]+m.message+l.Fields[m.subject]] = l
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
