package storepath

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "storepath")
}

// path is a way to the store that can be cut.
type path struct {
	store    *httptest.Server
	cut      bool
	status   int // of every response; 0 for the store's own
	requests int
}

// RoundTrip implements http.RoundTripper.
func (p *path) RoundTrip(r *http.Request) (*http.Response, error) {
	p.requests++
	if p.cut {
		return nil, errors.New("cut")
	}
	if p.status != 0 {
		return &http.Response{StatusCode: p.status, Body: io.NopCloser(strings.NewReader("")), Request: r}, nil
	}
	return http.DefaultTransport.RoundTrip(r)
}

// vm is one of two VMs: its own path to the store, and the server for the other.
type vm struct {
	direct    *path
	transport *Transport
	server    *httptest.Server
}

func newVM(store *httptest.Server) *vm {
	v := &vm{direct: &path{store: store}}
	v.transport = New(v.direct)
	v.server = httptest.NewServer(&Relay{Transport: v.transport, Store: strings.TrimPrefix(store.URL, "http://"), Log: logr.Discard()})
	DeferCleanup(v.server.Close)
	return v
}

// peers are the other VMs that a VM knows.
type peers []*vm

// StorePeers implements Peers.
func (p peers) StorePeers() ([]string, http.RoundTripper) {
	var urls []string
	for _, v := range p {
		urls = append(urls, v.server.URL)
	}
	return urls, http.DefaultTransport
}

// post sends a request and returns the store's response, empty if it failed.
func (v *vm) post(url string) string {
	request, err := http.NewRequest(http.MethodPost, url+"/rows?table=a", bytes.NewReader([]byte("body")))
	Expect(err).NotTo(HaveOccurred())
	response, err := v.transport.RoundTrip(request)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(raw)
}

// StorePeerLost implements Peers.
func (peers) StorePeerLost(string) {}

var _ = Describe("Transport", func() {
	var store *httptest.Server
	var own, other *vm
	BeforeEach(func() {
		store = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			raw, _ := io.ReadAll(r.Body) // the test compares what was read
			_, _ = io.WriteString(w, r.Method+" "+r.URL.RequestURI()+" "+string(raw))
		}))
		DeferCleanup(store.Close)
		own, other = newVM(store), newVM(store)
		own.transport.SetPeers(peers{other})
	})
	const response = "POST /rows?table=a body"

	It("uses the direct path while it works", func() {
		Expect(own.post(store.URL)).To(Equal(response))
		Expect(other.direct.requests).To(BeZero())
	})

	for _, t := range []struct {
		name string
		fail func(*path)
	}{
		{"is cut", func(p *path) { p.cut = true }},
		{"is refused by a store that is busy", func(p *path) { p.status = http.StatusServiceUnavailable }},
	} {
		It("reaches the store through another VM while the direct path "+t.name, func() {
			t.fail(own.direct)
			for range 5 {
				Expect(own.post(store.URL)).To(Equal(response))
			}
			Expect(own.direct.requests).To(Equal(1), "the direct path is not tried with each request")
		})
	}

	// Guards against responses whose era is lost on the way (review/12).
	It("gets the headers of the store's response through another VM, but for those of the connection", func() {
		store.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Store-Header", "2")
			w.Header().Set("Keep-Alive", "timeout=5")
		})
		own.direct.cut = true
		request, err := http.NewRequest(http.MethodGet, store.URL+"/rows", nil)
		Expect(err).NotTo(HaveOccurred())
		response, err := own.transport.RoundTrip(request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.Header.Get("Store-Header")).To(Equal("2"))
		Expect(response.Header).NotTo(HaveKey("Keep-Alive"))
	})

	It("reaches the store through another VM once the store has refused this one several times in a row", func() {
		own.direct.status = http.StatusTooManyRequests
		for range maxRefusals - 1 {
			Expect(own.post(store.URL)).To(BeEmpty())
		}
		for range 5 {
			Expect(own.post(store.URL)).To(Equal(response))
		}
	})

	It("does not take single refusals for too many requests for a failure", func() {
		for range 5 {
			own.direct.status = http.StatusTooManyRequests
			Expect(own.post(store.URL)).To(BeEmpty())
			own.direct.status = 0
			Expect(own.post(store.URL)).To(Equal(response))
		}
		Expect(other.direct.requests).To(BeZero())
	})

	It("returns to the direct path", func() {
		own.direct.cut = true
		Expect(own.post(store.URL)).To(Equal(response))
		own.direct.cut = false
		time.Sleep(directPause)
		before := other.direct.requests
		for range 3 {
			Expect(own.post(store.URL)).To(Equal(response))
		}
		Expect(other.direct.requests).To(Equal(before))
	})

	It("asks other VMs seldom while none of them reaches the store", func() {
		own.direct.cut, other.direct.cut = true, true
		for range 20 {
			Expect(own.post(store.URL)).To(BeEmpty())
		}
		Expect(other.direct.requests).To(BeNumerically("<=", 1))
	})

	It("finds the VM that reaches the store among others that do not, and stays with it", func() {
		var known peers
		for range 3 {
			cut := newVM(store)
			cut.direct.cut = true
			known = append(known, cut)
		}
		own.transport.SetPeers(append(known, other))
		own.direct.cut = true
		for range 6 {
			Expect(own.post(store.URL)).To(Equal(response))
		}
		for _, cut := range known {
			Expect(cut.direct.requests).To(BeNumerically("<=", 1))
		}
	})

	It("never passes a request on from one VM to the next", func() {
		third := newVM(store)
		other.transport.SetPeers(peers{third})
		own.direct.cut, other.direct.cut = true, true
		Expect(own.post(store.URL)).To(BeEmpty())
		Expect(third.direct.requests).To(BeZero())
	})

	// Guards against a part of a response of the store that a VM takes for a complete one.
	It("shows that a response of the store was broken off", func() {
		broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "part") // the test compares what was read
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}))
		DeferCleanup(broken.Close)
		other := newVM(broken)
		own.transport.SetPeers(peers{other})
		own.direct.cut = true
		request, err := http.NewRequest(http.MethodGet, broken.URL+"/rows", nil)
		Expect(err).NotTo(HaveOccurred())
		response, err := own.transport.RoundTrip(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		Expect(err).To(HaveOccurred(), "%q", body)
	})

	It("does not take a request that its caller gave up for a failure", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, store.URL, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = own.transport.RoundTrip(request)
		Expect(err).To(HaveOccurred())
		Expect(own.transport.directFailing()).To(BeFalse())
	})
})
