package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// host is the host of all routes, and key that of the only tenant.
const (
	host   = "ficu95.example"
	key    = "n2ctnfzs989anu6wsjnb"
	tenant = "hule930"
)

// ask is a request of a client.
type ask struct {
	method, target, id string
	body               []byte
	deadline           time.Duration // as the client states it
	wait               time.Duration // for which the client waits; the deadline if 0
	tokens             string        // X-Token-Counts
	parts              []string      // X-Prefix-Hash
	header             map[string]string
}

// got is what the client got.
type got struct {
	status   int // 0 without an answer
	body     string
	header   http.Header
	complete bool
	took     time.Duration // to the end of the answer
	err      error
}

// send sends a request on a new connection.
func send(m *machine, a ask) got {
	return sendWith(&http.Transport{DisableKeepAlives: true, DisableCompression: true}, m, a)
}

func sendWith(t *http.Transport, m *machine, a ask) got {
	if a.wait == 0 {
		a.wait = a.deadline
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, a.method, "http://"+m.listen+a.target, bytes.NewReader(a.body))
	must(err)
	r.GetBody = nil
	r.Host = host
	r.Header.Set("X-Attempt-Id", a.id)
	r.Header.Set("X-Api-Key", key)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(a.deadline.Milliseconds()))
	if a.tokens != "" {
		r.Header.Set("X-Model", "m")
		r.Header.Set("X-Token-Counts", a.tokens)
		r.Header.Set("X-Prefix-Hash", strings.Join(a.parts, ","))
	}
	for name, value := range a.header {
		r.Header.Set(name, value)
	}
	began := time.Now()
	response, err := (&http.Client{Transport: t}).Do(r)
	if err != nil {
		return got{took: time.Since(began), err: err}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return got{status: response.StatusCode, body: string(raw), header: response.Header, complete: err == nil, took: time.Since(began), err: err}
}

// route is a route of the configuration.
func route(name, prefix, kind, service string, timeout time.Duration, attempts int, more map[string]any) map[string]any {
	r := map[string]any{
		"Name": name, "Host": host, "Prefix": prefix, "RouteType": kind, "Service": service, "TimeoutMs": timeout.Milliseconds(),
		"TargetLatencyMs": 400, "Priority": 1, "MaxAttempts": attempts, "SessionAffinity": kind == "streaming", "StreamResume": false, "ItlTargetMs": 400,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// configure writes a configuration, as the operator does.
func configure(s *store, version int, prepaid int64, routes []map[string]any, services []map[string]any) {
	t := map[string]any{"Name": tenant, "ApiKeys": []string{key}}
	if prepaid > 0 {
		t["Prepaid"] = prepaid
	}
	s.put("op", "config", map[string]any{
		"Version": version, "Routes": routes, "Services": services, "Tenants": []any{t},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 15000},
	})
}

// Services of the configuration: engines, and a desk for orders.
func engines(slots int) map[string]any {
	return map[string]any{"Name": "dahu75a", "MaxConnections": 600, "Engine": map[string]any{"Slots": slots, "KvCapacityTokens": 700000, "Stride": 6}}
}

func desk() map[string]any { return map[string]any{"Name": "huno90b", "MaxConnections": 300} }
