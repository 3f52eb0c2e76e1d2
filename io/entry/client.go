// Package entry is the operators' client of the fleet's entry VMs.
package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"hawthornspar/io/operator"
	"hawthornspar/io/wire"
)

// callTimeout bounds one call to one entry VM.
const callTimeout = 25 * time.Second

// Client calls entry VMs, the next one when one does not answer.
type Client struct {
	entries []string
	http    *http.Client
	base    *sling.Sling
}

// New returns a client of the entries, each an IP:port, for an operator's secret.
func New(entries []string, secret string) *Client {
	client := &http.Client{Timeout: callTimeout}
	base := sling.New().Client(client).Set("Authorization", "Bearer "+secret)
	return &Client{entries: entries, http: client, base: base}
}

// UnreachableError says that no entry VM answered.
type UnreachableError struct{ Cause error }

// Error implements error.
func (e *UnreachableError) Error() string { return "no entry VM answered: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// RejectedError says that an entry VM rejected the call.
type RejectedError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *RejectedError) Error() string { return strings.TrimSpace(e.Message) }

// ConflictError says that another operator's change came first.
type ConflictError struct{ Winner *wire.Change }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: change %d by %s came first: %s",
		e.Winner.GetVersion(), e.Winner.GetOperator(), protojson.MarshalOptions{}.Format(e.Winner))
}

// Change makes a configuration change and returns its version. Repeating a
// request with the same operation has no further effect.
func (c *Client) Change(request *wire.ChangeRequest) (int64, error) {
	if request.Operation == "" {
		request.Operation = uuid.NewString()
	}
	raw, err := protojson.Marshal(request)
	if err != nil {
		return 0, errors.Wrap(err, "change")
	}
	status, body, err := c.call(c.base.New().Post(operator.PathChange), raw)
	if err != nil {
		return 0, err
	}
	var reply wire.ChangeReply
	if protojson.Unmarshal(body, &reply) != nil {
		return 0, &RejectedError{Status: status, Message: string(body)}
	}
	switch {
	case status == http.StatusConflict:
		return 0, &ConflictError{Winner: reply.Conflict}
	case reply.Failure != "":
		return 0, &RejectedError{Status: status, Message: reply.Failure}
	}
	return reply.Version, nil
}

// Config returns the configuration in force.
func (c *Client) Config() (*wire.Configuration, error) { return c.configuration(operator.PathConfig) }

// Audit returns every accepted change.
func (c *Client) Audit() (*wire.Configuration, error) { return c.configuration(operator.PathAudit) }

func (c *Client) configuration(path string) (*wire.Configuration, error) {
	status, body, err := c.call(c.base.New().Get(path), nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, &RejectedError{Status: status, Message: string(body)}
	}
	var all wire.Configuration
	err = protojson.Unmarshal(body, &all)
	return &all, errors.Wrap(err, "configuration")
}

// Report returns the state of all VMs.
func (c *Client) Report() (operator.FleetReport, error) {
	var all operator.FleetReport
	return all, c.get(operator.PathReport, &all)
}

// Budgets returns the budgets whose names start with prefix.
func (c *Client) Budgets(prefix string) ([]operator.BudgetTotal, error) {
	var totals []operator.BudgetTotal
	return totals, c.get(operator.PathBudgets+"?prefix="+prefix, &totals)
}

func (c *Client) get(path string, into any) error {
	status, body, err := c.call(c.base.New().Get(path), nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return &RejectedError{Status: status, Message: string(body)}
	}
	return errors.Wrap(json.Unmarshal(body, into), "answer")
}

// call tries the entries in turn until one answers.
func (c *Client) call(s *sling.Sling, body []byte) (int, []byte, error) {
	var last error
	for _, address := range c.entries {
		request, err := s.New().Request()
		if err != nil {
			return 0, nil, errors.Wrap(err, "request")
		}
		request.URL.Scheme, request.URL.Host = "http", address
		if body != nil {
			request.Body = io.NopCloser(bytes.NewReader(body))
			request.ContentLength = int64(len(body))
		}
		response, err := c.http.Do(request)
		if err != nil {
			last = err
			continue
		}
		raw, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			last = err
			continue
		}
		if response.StatusCode < http.StatusInternalServerError {
			return response.StatusCode, raw, nil
		}
		last = &RejectedError{Status: response.StatusCode, Message: string(raw)}
	}
	return 0, nil, &UnreachableError{Cause: last}
}
