package daemon

import (
	"fmt"
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// NewLogger returns a logger that writes each entry to out as one line of
// key=value pairs.
func NewLogger(out io.Writer, verbosity int) logr.Logger {
	writeLine := func(prefix, pairs string) {
		if prefix != "" {
			pairs = "logger=" + prefix + " " + pairs
		}
		fmt.Fprintln(out, pairs)
	}
	return funcr.New(writeLine, funcr.Options{Verbosity: verbosity, LogTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
}
