// Package metrics counts with OpenTelemetry and shows the counts in the
// Prometheus text format.
package metrics

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	export "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Registry holds the process's instruments.
type Registry struct {
	meter    metric.Meter
	handler  http.Handler
	mu       sync.Mutex
	counters map[string]metric.Int64Counter
	times    map[string]metric.Float64Histogram
}

// New returns a registry with its own Prometheus exporter.
func New() (*Registry, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := export.New(export.WithRegisterer(registry), export.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "metrics exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	return &Registry{
		meter:    provider.Meter("hawthornspar"),
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		counters: map[string]metric.Int64Counter{},
		times:    map[string]metric.Float64Histogram{},
	}, nil
}

// Handler serves the counts.
func (r *Registry) Handler() http.Handler { return r.handler }

// Count adds one to a counter under a reason.
func (r *Registry) Count(counter, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.counters[counter]
	if !ok {
		made, err := r.meter.Int64Counter("hawthornspar_" + counter)
		if err != nil {
			return
		}
		c = made
		r.counters[counter] = c
	}
	c.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// timeBuckets are the bounds of latency histograms, in seconds: from a round
// trip inside a region to the longest deadlines.
var timeBuckets = []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 15}

// Time adds a duration to a latency histogram under a kind.
func (r *Registry) Time(histogram, kind string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.times[histogram]
	if !ok {
		made, err := r.meter.Float64Histogram("hawthornspar_"+histogram, metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(timeBuckets...))
		if err != nil {
			return
		}
		h = made
		r.times[histogram] = h
	}
	h.Record(context.Background(), d.Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
}

// Gauge shows a value that read returns, such as a version.
func (r *Registry) Gauge(name string, read func() int64) error {
	_, err := r.meter.Int64ObservableGauge("hawthornspar_"+name, metric.WithInt64Callback(
		func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Wrap(err, "metric "+name)
}

// Observe shows a value that read returns.
func (r *Registry) Observe(name string, read func() int64) error {
	_, err := r.meter.Int64ObservableCounter("hawthornspar_"+name, metric.WithInt64Callback(
		func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Wrap(err, "metric "+name)
}
