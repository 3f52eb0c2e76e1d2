package daemon

import (
	"fmt"
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// NewLog returns a logger that writes one line of key=value pairs an event.
func NewLog(out io.Writer, verbosity int) logr.Logger {
	write := func(prefix, pairs string) {
		if prefix != "" {
			pairs = "logger=" + prefix + " " + pairs
		}
		fmt.Fprintln(out, pairs)
	}
	return funcr.New(write, funcr.Options{Verbosity: verbosity, LogTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
}
