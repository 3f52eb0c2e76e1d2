// Package metrics counts with OpenTelemetry and shows the counts in the
// Prometheus text format.
package metrics

import (
	"context"
	"net/http"
	"sync"

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

// Observe shows a value that read returns.
func (r *Registry) Observe(name string, read func() int64) error {
	_, err := r.meter.Int64ObservableCounter("hawthornspar_"+name, metric.WithInt64Callback(
		func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Wrap(err, "metric "+name)
}
