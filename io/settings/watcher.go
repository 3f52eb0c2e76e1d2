package settings

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"time"

	"github.com/go-logr/logr"
)

// pollInterval is the time between two reads of the settings file, which find
// changes that no signal announced.
const pollInterval = 2 * time.Second

// Watcher reloads a gateway's settings file when it changes. It reads the file on
// each signal from Hangup and every pollInterval, and passes the new settings to
// Apply. While the file is unreadable or invalid, it keeps the current settings.
type Watcher struct {
	Path    string
	Hangup  <-chan os.Signal
	Apply   func(Gateway)
	Log     logr.Logger
	content []byte
	current Gateway
}

// Load reads the settings that the gateway starts with.
func (w *Watcher) Load() (Gateway, error) {
	raw, err := os.ReadFile(w.Path)
	if err != nil {
		return Gateway{}, &Error{Problems: []string{"the file: " + err.Error()}}
	}
	w.content = raw
	w.current, err = ParseGatewayWithDefaults(raw, os.Getenv)
	return w.current, err
}

// Watch reloads the file in the background until ctx is done.
func (w *Watcher) Watch(ctx context.Context) { go w.loop(ctx) }

func (w *Watcher) loop(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.Hangup:
			w.Log.Info("settings reload requested", "file", w.Path)
		case <-t.C:
		}
		w.reload()
	}
}

// reload applies the settings in the file if its content changed. It logs invalid
// content once and does not parse it again until the file changes.
func (w *Watcher) reload() {
	raw, err := os.ReadFile(w.Path)
	if err != nil {
		w.Log.Info("cannot read settings file", "file", w.Path, "error", err.Error())
		return
	}
	if bytes.Equal(raw, w.content) {
		return
	}
	w.content = raw
	next, err := ParseGatewayWithDefaults(raw, os.Getenv)
	if err != nil {
		w.Log.Info("invalid settings file, keeping the current settings", "file", w.Path, "error", err.Error())
		return
	}
	applied, afterRestart := Diff(w.current, next)
	w.Log.Info("settings reloaded", "file", w.Path, "inForce", applied, "afterRestart", afterRestart)
	w.current = next
	w.Apply(next)
}

// Diff returns the names of the settings that differ: applied lists those that
// take effect in a running process, afterRestart those that need a restart.
func Diff(before, after Gateway) (applied, afterRestart []string) {
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range a.NumField() {
		field := a.Type().Field(i)
		if reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			continue
		}
		if field.Tag.Get("reload") == "" {
			afterRestart = append(afterRestart, field.Tag.Get("flag"))
			continue
		}
		applied = append(applied, field.Tag.Get("flag"))
	}
	return applied, afterRestart
}
