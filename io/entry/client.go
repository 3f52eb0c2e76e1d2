// Package entry is the client with which operators configure and query the fleet
// through its entry VMs.
package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"hawthornspar/io/http1"
	"hawthornspar/io/operator"
	"hawthornspar/io/wire"
)

// callTimeout limits one request to one entry VM.
const callTimeout = 25 * time.Second

// maxResponseBytes bounds a response of an entry VM.
const maxResponseBytes = 64 << 20

// Client sends requests to an entry VM. If that one is unreachable or fails, it
// tries the next.
type Client struct {
	addresses   []string
	httpClient  *http.Client
	baseRequest *sling.Sling
}

// New returns a client for entry VMs at the given IP:port addresses, which sends
// the operator's secret.
func New(addresses []string, secret string) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialContext = http1.ReportingDial(&net.Dialer{})
	client := &http.Client{Timeout: callTimeout, Transport: &http1.BoundedTransport{Base: &http1.CheckedTransport{Base: transport}, MaxBytes: maxResponseBytes}}
	base := sling.New().Client(client).Set("Authorization", "Bearer "+secret)
	return &Client{addresses: addresses, httpClient: client, baseRequest: base}
}

// UnreachableError reports that no entry VM gave a usable response. Cause is the
// failure of the last one that was tried.
type UnreachableError struct{ Cause error }

// Error implements error.
func (e *UnreachableError) Error() string { return "no entry VM answered: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// RejectedError reports that an entry VM rejected the request, or that the
// request names an endpoint that does not exist.
type RejectedError struct {
	Status  int // HTTP status; 0 if the client itself found the error
	Message string
}

// Error implements error.
func (e *RejectedError) Error() string { return strings.TrimSpace(e.Message) }

// ConflictError reports that another operator's change was accepted first.
type ConflictError struct{ Accepted *wire.Change }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: change %d by %s came first: %s",
		e.Accepted.GetVersion(), e.Accepted.GetOperator(), protojson.MarshalOptions{}.Format(e.Accepted))
}

// Change makes a configuration change and returns its version. It sets
// request.Operation if that is empty. A repeated request with the same operation
// has no further effect.
func (c *Client) Change(request *wire.ChangeRequest) (int64, error) {
	if request.Operation == "" {
		request.Operation = uuid.NewString()
	}
	raw, err := protojson.Marshal(request)
	if err != nil {
		return 0, errors.Wrap(err, "change")
	}
	status, body, err := c.send(c.baseRequest.New().Post(operator.PathChange), raw)
	if err != nil {
		return 0, err
	}
	var response wire.ChangeReply
	if protojson.Unmarshal(body, &response) != nil {
		return 0, &RejectedError{Status: status, Message: string(body)}
	}
	switch {
	case status == http.StatusConflict:
		return 0, &ConflictError{Accepted: response.Conflict}
	case response.Failure != "":
		return 0, &RejectedError{Status: status, Message: response.Failure}
	}
	return response.Version, nil
}

// Config returns the configuration in force.
func (c *Client) Config() (*wire.Configuration, error) {
	return c.getConfiguration(operator.PathConfig)
}

// Audit returns every accepted change.
func (c *Client) Audit() (*wire.Configuration, error) { return c.getConfiguration(operator.PathAudit) }

// getConfiguration sends a GET request and decodes the configuration in the
// response.
func (c *Client) getConfiguration(path string) (*wire.Configuration, error) {
	status, body, err := c.send(c.baseRequest.New().Get(path), nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, &RejectedError{Status: status, Message: string(body)}
	}
	var configuration wire.Configuration
	err = protojson.Unmarshal(body, &configuration)
	return &configuration, errors.Wrap(err, "configuration")
}

// Report returns the state of all VMs.
func (c *Client) Report() (operator.FleetReport, error) {
	var report operator.FleetReport
	return report, c.getJSON(operator.PathReport, &report)
}

// Budgets returns the budgets whose names start with prefix.
func (c *Client) Budgets(prefix string) ([]operator.BudgetTotal, error) {
	var totals []operator.BudgetTotal
	return totals, c.getJSON(operator.PathBudgets+"?prefix="+prefix, &totals)
}

// getJSON sends a GET request and decodes the JSON response into result.
func (c *Client) getJSON(path string, result any) error {
	status, body, err := c.send(c.baseRequest.New().Get(path), nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return &RejectedError{Status: status, Message: string(body)}
	}
	return errors.Wrap(json.Unmarshal(body, result), "answer")
}

// send sends a request to one entry VM after another until one responds with a
// status below 500, and returns that status and the body.
func (c *Client) send(base *sling.Sling, body []byte) (int, []byte, error) {
	var lastErr error
	for _, address := range c.addresses {
		request, err := base.New().Request()
		if err != nil {
			return 0, nil, errors.Wrap(err, "request")
		}
		request.URL.Scheme, request.URL.Host = "http", address
		if body != nil {
			request.Body = io.NopCloser(bytes.NewReader(body))
			request.ContentLength = int64(len(body))
		}
		response, err := c.httpClient.Do(request)
		if err != nil {
			lastErr = err
			continue
		}
		raw, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			lastErr = err
			continue
		}
		if response.StatusCode < http.StatusInternalServerError {
			return response.StatusCode, raw, nil
		}
		lastErr = &RejectedError{Status: response.StatusCode, Message: string(raw)}
	}
	return 0, nil, &UnreachableError{Cause: lastErr}
}
