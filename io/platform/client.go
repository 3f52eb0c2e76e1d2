package platform

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/io/http1"
	"hawthornspar/io/protobuf"
)

// requestTimeout bounds one request, its response included. A later response
// counts as lost.
const requestTimeout = time.Second

// Bounds of a response of the platform.
const (
	maxResponseBytes     = 64 << 20
	maxResponseHeadBytes = 64 << 10
)

// Post queues an event for the core.
type Post func(inbox.Event)

// Client sends requests to the platform. Transact, Read and List start a
// goroutine for each request, which posts the outcome as an event. The other
// methods wait for the response.
type Client struct {
	base       *sling.Sling
	httpClient *http.Client
	post       Post
}

// New returns a client of the platform at address, an IP:port.
func New(address string, post Post) *Client {
	transport := &http.Transport{DialContext: http1.ReportingDial(&net.Dialer{}), MaxIdleConnsPerHost: 32, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxResponseHeadBytes}
	client := &http.Client{Timeout: requestTimeout, Transport: &http1.BoundedTransport{Base: &http1.CheckedTransport{Base: transport}, MaxBytes: maxResponseBytes}}
	return &Client{base: sling.New().Client(client).Base("http://" + address), httpClient: client, post: post}
}

// StatusError reports a response with an unexpected status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "platform responded with " + http.StatusText(e.Status) }

// Transact starts a transaction, whose outcome is posted as
// inbox.TransactDone.
func (c *Client) Transact(t outbox.Transact) {
	call := &transactCall{client: c, transact: t}
	go call.run()
}

// Read starts a read of rows, which are posted as inbox.ReadDone.
func (c *Client) Read(r outbox.Read) {
	call := &readCall{client: c, read: r}
	go call.run()
}

// List starts a request for the list of VMs, which is posted as inbox.ListDone.
func (c *Client) List() {
	call := &listCall{client: c}
	go call.run()
}

// transactCall sends one transaction and posts its outcome.
type transactCall struct {
	client   *Client
	transact outbox.Transact
}

func (t *transactCall) run() {
	body := Transaction{}
	for _, k := range t.transact.Checks {
		body.Checks = append(body.Checks, Check{Key: k.Key, Version: k.Version})
	}
	for _, p := range t.transact.Puts {
		body.Puts = append(body.Puts, Put{Key: p.Key, Value: protobuf.Encode(p.Document)})
	}
	t.client.post(t.send(body))
}

// send sends a transaction and returns its outcome. The outcome is unknown unless
// the platform reported that the transaction was committed or that a check failed.
func (t *transactCall) send(body Transaction) inbox.TransactDone {
	done := inbox.TransactDone{ID: t.transact.ID, Outcome: inbox.TransactUnknown}
	var commit Commit
	var current Rows
	response, err := t.client.base.New().Post(PathTransact).BodyJSON(body).Receive(&commit, &current)
	if err != nil {
		return done
	}
	switch response.StatusCode {
	case http.StatusOK:
		done.Outcome, done.Version = inbox.TransactCommitted, commit.Version
	case http.StatusConflict:
		rows, err := decodeRows(current.Rows)
		if err == nil {
			done.Outcome, done.Current = inbox.TransactConflicted, rows
		}
	}
	return done
}

// decodeRows decodes rows. An absent row has no document.
func decodeRows(rows []Row) ([]entity.Row, error) {
	var decoded []entity.Row
	for _, row := range rows {
		r := entity.Row{Key: row.Key, Version: row.Version}
		if row.Version != 0 {
			document, err := protobuf.Decode(row.Key, row.Value)
			if err != nil {
				return nil, errors.Wrap(err, "rows")
			}
			r.Document = document
		}
		decoded = append(decoded, r)
	}
	return decoded, nil
}

// readCall reads rows and posts them.
type readCall struct {
	client *Client
	read   outbox.Read
}

func (r *readCall) run() {
	done := inbox.ReadDone{ID: r.read.ID}
	rows, err := r.client.ReadRows(r.read.Keys, r.read.Prefixes)
	if err == nil {
		done.OK, done.Rows = true, rows
	}
	r.client.post(done)
}

// ReadRows returns the rows with the keys, then those whose keys start with the
// prefixes.
func (c *Client) ReadRows(keys, prefixes []string) ([]entity.Row, error) {
	var rows Rows
	response, err := c.base.New().Post(PathRead).BodyJSON(ReadRequest{Keys: keys, Prefixes: prefixes}).ReceiveSuccess(&rows)
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: response.StatusCode}
	}
	return decodeRows(rows.Rows)
}

// listCall requests the list of VMs and posts it.
type listCall struct{ client *Client }

func (l *listCall) run() {
	var list VMs
	response, err := l.client.base.New().Get(PathVMs).ReceiveSuccess(&list)
	done := inbox.ListDone{OK: err == nil && response.StatusCode == http.StatusOK}
	for _, vm := range list.VMs {
		done.VMs = append(done.VMs, entity.ListedVM{Name: vm.Name, Address: vm.Address, Domain: vm.Domain, ShuttingDown: vm.ShuttingDown})
	}
	l.client.post(done)
}

// PutObject stores an object in the object store.
func (c *Client) PutObject(ctx context.Context, name string, content []byte) error {
	request, err := c.base.New().Put(PathObjects + name).Body(bytes.NewReader(content)).Request()
	if err != nil {
		return errors.Wrap(err, "object")
	}
	response, err := c.httpClient.Do(request.WithContext(ctx))
	if err != nil {
		return errors.Wrap(err, "object")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &StatusError{Status: response.StatusCode}
	}
	// A response that is broken off does not show that the store has the whole object.
	_, err = io.Copy(io.Discard, response.Body)
	return errors.Wrap(err, "object")
}

// GetObject returns the content of an object of the object store. For a missing
// object it returns a *StatusError with status 404.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	request, err := c.base.New().Get(PathObjects + name).Request()
	if err != nil {
		return nil, errors.Wrap(err, "object")
	}
	response, err := c.httpClient.Do(request.WithContext(ctx))
	if err != nil {
		return nil, errors.Wrap(err, "object")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: response.StatusCode}
	}
	return io.ReadAll(response.Body)
}
