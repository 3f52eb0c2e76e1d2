package gateway

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"hawthornspar/core/endpoints"
	"hawthornspar/core/home"
	"hawthornspar/core/route"
	"hawthornspar/io/certificate"
)

// Asking other VMs for what the store does not tell.
const (
	// viewPath is the path that tells what a VM knows of the fleet.
	viewPath = "/fleet"
	// viewPause is the time between questions while the store is lost.
	viewPause = 700 * time.Millisecond
	// viewTimeout bounds a question, with a large configuration as its answer.
	viewTimeout = 600 * time.Millisecond
	// viewBytes bounds an answer.
	viewBytes = 16 << 20
)

// view is what a VM knows of the fleet. Parts that are not newer than what the
// asking VM has are left out.
type view struct {
	Authority       *certificate.Pair        `json:"authority,omitempty"`
	Configuration   *route.Document          `json:"configuration,omitempty"`
	Endpoints       []endpoints.Registration `json:"endpoints,omitempty"`
	RegistryVersion int64                    `json:"registryVersion"`
	VMs             []home.VM                `json:"vms,omitempty"`
}

// viewQuery says what the asking VM has.
type viewQuery struct {
	Configuration int64 `url:"configuration"`
	Registry      int64 `url:"registry"`
}

// servePeer answers VMs that showed a certificate of the fleet.
func (g *Gateway) servePeer(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case lendPath:
		g.serveLoan(w, r)
	case repayPath:
		g.serveRepayment(w, r)
	case viewPath:
		g.serveView(w, r, nil)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// serveControl answers VMs of the same private network that have just started
// and cannot reach the store, from which they would have the fleet's keys.
func (g *Gateway) serveControl(w http.ResponseWriter, r *http.Request) {
	authority := g.authority.Load()
	if r.URL.Path != viewPath || authority == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.serveView(w, r, authority)
}

func (g *Gateway) serveView(w http.ResponseWriter, r *http.Request, authority *certificate.Pair) {
	v := g.state.view(number(r.URL, "configuration"), number(r.URL, "registry"))
	v.Authority = authority
	if err := json.NewEncoder(w).Encode(v); err != nil {
		g.log.V(1).Info("view not told", "error", err.Error())
	}
}

// number reads a number of a query; 0 when it is missing.
func number(u *url.URL, name string) int64 {
	n, err := strconv.ParseInt(u.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// view returns what is newer than the given versions.
func (s *state) view(configuration, registry int64) view {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := view{RegistryVersion: s.registryVersion, VMs: s.members}
	if s.table != nil && s.table.Document.Version > configuration {
		v.Configuration = s.table.Document
	}
	if s.registry && s.registryVersion > registry {
		v.Endpoints = s.endpoints.Registrations(time.Now())
	}
	return v
}

// versions returns what this VM has.
func (s *state) versions() viewQuery {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := viewQuery{Registry: s.registryVersion}
	if s.table != nil {
		q.Configuration = s.table.Document.Version
	}
	return q
}

// viewer asks other VMs while the store is lost.
type viewer struct {
	gateway *Gateway
	client  *http.Client // for the control addresses of seeds
}

func (v *viewer) loop(ctx context.Context) {
	for sleep(ctx, jitter(viewPause)) {
		if v.gateway.configurationLost.Load() {
			v.ask(ctx)
		}
	}
}

// ask asks one VM: a peer when the channel between VMs is open, else a seed.
func (v *viewer) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	answer, from, err := v.question(ctx)
	if err != nil {
		v.gateway.log.V(1).Info("no view", "from", from, "error", err.Error())
		return
	}
	v.gateway.take(answer, from)
}

func (v *viewer) question(ctx context.Context) (view, string, error) {
	if address, ok := v.gateway.borrower.anyPeer(); ok {
		answer, err := v.exchange(ctx, "https://"+address, &http.Client{Transport: v.gateway.borrower.channel()})
		if err != nil {
			v.gateway.borrower.drop(address)
		}
		return answer, address, err
	}
	seeds := v.gateway.reloaded.Load().Seeds
	if len(seeds) == 0 {
		return view{}, "", errors.WithStack(&NoPeerError{})
	}
	seed := seeds[rand.IntN(len(seeds))]
	answer, err := v.exchange(ctx, "http://"+seed, v.client)
	return answer, seed, err
}

// NoPeerError says that no other VM can be asked: none is known, or the channel
// to them is not open.
type NoPeerError struct{}

// Error implements error.
func (*NoPeerError) Error() string { return "no other VM can be asked" }

func (v *viewer) exchange(ctx context.Context, base string, c *http.Client) (view, error) {
	request, err := sling.New().Base(base).Get(viewPath).QueryStruct(v.gateway.state.versions()).Request()
	if err != nil {
		return view{}, errors.Wrap(err, "question")
	}
	response, err := c.Do(request.WithContext(ctx))
	if err != nil {
		return view{}, errors.Wrap(err, "VM")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return view{}, errors.WithStack(&AnswerError{Status: response.StatusCode})
	}
	var answer view
	err = json.NewDecoder(io.LimitReader(response.Body, viewBytes)).Decode(&answer)
	return answer, errors.Wrap(err, "VM's answer")
}

// AnswerError says that a VM refused a question or a message.
type AnswerError struct{ Status int }

// Error implements error.
func (e *AnswerError) Error() string { return "VM answered " + http.StatusText(e.Status) }

// take uses what another VM knows, where it is newer.
func (g *Gateway) take(v view, from string) {
	if v.Configuration != nil {
		g.log.Info("configuration from a VM", "from", from, "version", v.Configuration.Version)
		g.configure(v.Configuration)
	}
	if v.Endpoints != nil {
		g.log.Info("registry from a VM", "from", from, "version", v.RegistryVersion, "endpoints", len(v.Endpoints))
		g.replaceRegistry(endpoints.RegistryChange{Put: v.Endpoints}, v.RegistryVersion, time.Now().Add(lapseGrace))
	}
	if v.Authority != nil {
		g.authority.CompareAndSwap(nil, v.Authority)
	}
	if len(v.VMs) > 0 && !g.state.knowsMembers() {
		g.join(v.VMs, "VM "+from)
	}
}
