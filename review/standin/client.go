package main

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	host    = "ficu95.example"
	apiKey  = "n2ctnfzs989anu6wsjnb"
	tenant  = "hule930"
	service = "huvo11a"
	path    = "/lohu930/"
)

// request is a client's request for a stream.
type request struct {
	id, path, body, prefix string
	tokens                 string // PROMPT,OUTPUT
	timeout                time.Duration
}

// answer is what the client got.
type answer struct {
	status   int
	sealed   bool
	body     string
	complete bool
	err      error
}

// send sends a request to a machine on a new connection, as the platform's clients do.
func send(v *vm, q request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.listen+q.path, strings.NewReader(q.body))
	if err != nil {
		return answer{err: err}
	}
	r.GetBody = nil
	r.Host = host
	r.Header.Set("X-Attempt-Id", q.id)
	r.Header.Set("X-Api-Key", apiKey)
	r.Header.Set("X-Model", "m")
	r.Header.Set("X-Token-Counts", q.tokens)
	r.Header.Set("X-Prefix-Hash", q.prefix)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(q.timeout.Milliseconds(), 10))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, sealed: response.Header.Get("X-Response-Seal") != "", body: string(raw), complete: err == nil, err: err}
}

// configuration returns the operator's configuration with one route for streams.
func configuration(version int, slots int) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "r-2yhvz3p", "Host": host, "Prefix": path, "RouteType": "streaming", "TimeoutMs": 15000, "TargetLatencyMs": 1500, "Priority": 1,
			"Service": service, "MaxAttempts": 1, "Anonymous": false, "SessionAffinity": true, "StreamResume": false, "ItlTargetMs": 400,
		}},
		"Services": []any{map[string]any{
			"Name": service, "HealthCheckPath": "/healthz", "MaxConnections": 620, "Protocol": "h1", "Tls": false,
			"Engine": map[string]any{"Slots": slots, "KvCapacityTokens": 732335, "Stride": 5},
		}},
		"Tenants": []any{map[string]any{"Name": tenant, "ApiKeys": []string{apiKey}, "Prepaid": 1000000000}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}
