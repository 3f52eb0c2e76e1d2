// Package metrics records metrics with OpenTelemetry and serves them in the
// Prometheus text format. The name of each metric gets the prefix hawthornspar_.
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

// Registry creates and holds the process's metric instruments. Its methods may be
// called concurrently.
type Registry struct {
	meter      metric.Meter
	handler    http.Handler
	mu         sync.Mutex
	counters   map[string]metric.Int64Counter
	histograms map[string]metric.Float64Histogram
}

// New returns a registry with its own Prometheus exporter. It exports metrics of
// the process, such as processor time and memory, from the start.
func New() (*Registry, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := export.New(export.WithRegisterer(registry), export.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "metrics exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	return &Registry{
		meter:      provider.Meter("hawthornspar"),
		handler:    promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		counters:   map[string]metric.Int64Counter{},
		histograms: map[string]metric.Float64Histogram{},
	}, nil
}

// Handler returns the handler that serves the metrics to Prometheus.
func (r *Registry) Handler() http.Handler { return r.handler }

// Increment adds one to the named counter, with the given value of its reason
// label.
func (r *Registry) Increment(counter, reason string) { r.Add(counter, reason, 1) }

// Add adds n to the named counter, with the given value of its reason label. It
// creates the counter on first use, and does nothing if that fails.
func (r *Registry) Add(counter, reason string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.counters[counter]
	if !ok {
		created, err := r.meter.Int64Counter("hawthornspar_" + counter)
		if err != nil {
			return
		}
		c = created
		r.counters[counter] = c
	}
	c.Add(context.Background(), int64(n), metric.WithAttributes(attribute.String("reason", reason)))
}

// latencyBuckets are the upper bounds of the buckets of latency histograms, in
// seconds. They range from a round trip inside a region to the longest deadlines.
var latencyBuckets = []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 15}

// ObserveDuration records a duration in the named latency histogram, with the
// given value of its kind label. It creates the histogram on first use, and
// does nothing if that fails.
func (r *Registry) ObserveDuration(histogram, kind string, d time.Duration) {
	r.observe(histogram, kind, d.Seconds(), metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(latencyBuckets...))
}

// observe records a value in a histogram, which it creates on first use with options.
func (r *Registry) observe(histogram, kind string, value float64, options ...metric.Float64HistogramOption) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.histograms[histogram]
	if !ok {
		created, err := r.meter.Float64Histogram("hawthornspar_"+histogram, options...)
		if err != nil {
			return
		}
		h = created
		r.histograms[histogram] = h
	}
	h.Record(context.Background(), value, metric.WithAttributes(attribute.String("kind", kind)))
}

// ratioBuckets are the upper bounds of the buckets of ratio histograms. They include
// the aims for forecasts, 0.15 and 0.6.
var ratioBuckets = []float64{.05, .1, .15, .25, .4, .6, 1, 2, 4, 8}

// ObserveRatio records a ratio in the named histogram, with the given value of its
// kind label. It creates the histogram on first use, and does nothing if that fails.
func (r *Registry) ObserveRatio(histogram, kind string, ratio float64) {
	r.observe(histogram, kind, ratio, metric.WithExplicitBucketBoundaries(ratioBuckets...))
}

// RegisterGauge registers a gauge. Each scrape calls read for its value.
func (r *Registry) RegisterGauge(name string, read func() int64) error {
	_, err := r.meter.Int64ObservableGauge("hawthornspar_"+name, metric.WithInt64Callback(
		func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Wrap(err, "metric "+name)
}

// Sample is one value of a gauge with labels.
type Sample struct {
	Value  int64
	Labels map[string]string // by name
}

// RegisterSampledGauge registers a gauge with labels. Each scrape calls read for
// its values.
func (r *Registry) RegisterSampledGauge(name string, read func() []Sample) error {
	_, err := r.meter.Int64ObservableGauge("hawthornspar_"+name, metric.WithInt64Callback(
		func(_ context.Context, o metric.Int64Observer) error {
			for _, s := range read() {
				var labels []attribute.KeyValue
				for label, value := range s.Labels {
					labels = append(labels, attribute.String(label, value))
				}
				o.Observe(s.Value, metric.WithAttributes(labels...))
			}
			return nil
		}))
	return errors.Wrap(err, "metric "+name)
}

// RegisterCounter registers a counter. Each scrape calls read for its value, which
// must never decrease.
func (r *Registry) RegisterCounter(name string, read func() int64) error {
	_, err := r.meter.Int64ObservableCounter("hawthornspar_"+name, metric.WithInt64Callback(
		func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Wrap(err, "metric "+name)
}
