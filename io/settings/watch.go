package settings

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"time"

	"github.com/go-logr/logr"
)

// watchPeriod is how often the file is compared, for changes without a signal.
const watchPeriod = 2 * time.Second

// Watcher follows a gateway's settings file. It looks at each signal on Hangup
// and every watchPeriod. A wrong file keeps the last good settings.
type Watcher struct {
	Path   string
	Hangup <-chan os.Signal
	Apply  func(Gateway)
	Log    logr.Logger
	text   []byte
	last   Gateway
}

// Start reads the file for the first time.
func (w *Watcher) Start() (Gateway, error) {
	raw, err := os.ReadFile(w.Path)
	if err != nil {
		return Gateway{}, &Error{Problems: []string{"the file: " + err.Error()}}
	}
	w.text = raw
	w.last, err = ParseGateway(raw)
	return w.last, err
}

// Watch follows the file until the context ends.
func (w *Watcher) Watch(ctx context.Context) { go w.loop(ctx) }

func (w *Watcher) loop(ctx context.Context) {
	t := time.NewTicker(watchPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.Hangup:
			w.Log.Info("reload asked for", "file", w.Path)
		case <-t.C:
		}
		w.look()
	}
}

func (w *Watcher) look() {
	raw, err := os.ReadFile(w.Path)
	if err != nil {
		w.Log.Info("settings not read", "file", w.Path, "error", err.Error())
		return
	}
	if bytes.Equal(raw, w.text) {
		return
	}
	w.text = raw
	next, err := ParseGateway(raw)
	if err != nil {
		w.Log.Info("settings refused, the last good ones stay", "file", w.Path, "error", err.Error())
		return
	}
	inForce, later := Changes(w.last, next)
	w.Log.Info("settings reloaded", "file", w.Path, "inForce", inForce, "afterRestart", later)
	w.last = next
	w.Apply(next)
}

// Changes names the settings that differ: those that a running process takes,
// and those that need a restart.
func Changes(before, after Gateway) (inForce, afterRestart []string) {
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
		inForce = append(inForce, field.Tag.Get("flag"))
	}
	return inForce, afterRestart
}
