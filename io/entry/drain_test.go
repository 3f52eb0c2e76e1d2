package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"hawthornspar/io/operator"
	"hawthornspar/io/wire"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

// fakeVM is an entry VM with one endpoint in its configuration, which other operators
// change right after each of the first reads.
type fakeVM struct {
	endpoint *wire.Endpoint
	version  int64
	changes  int // by other operators, still to come
}

func (f *fakeVM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == operator.PathConfig {
		item := PutEndpoint(f.endpoint)
		item.Version = f.version
		f.respond(w, http.StatusOK, &wire.Configuration{Version: f.version, Items: []*wire.Change{item}})
		if f.changes > 0 {
			f.changes--
			f.version++
			f.endpoint = proto.CloneOf(f.endpoint)
			f.endpoint.Slots += 10
		}
		return
	}
	raw, _ := io.ReadAll(r.Body)
	var request wire.ChangeRequest
	Expect(protojson.Unmarshal(raw, &request)).To(Succeed())
	if request.Checked && request.Expected != f.version {
		f.respond(w, http.StatusConflict, &wire.ChangeReply{Conflict: &wire.Change{Version: f.version}})
		return
	}
	f.version++
	f.endpoint = request.Change.GetEndpoint()
	f.respond(w, http.StatusOK, &wire.ChangeReply{Version: f.version})
}

func (f *fakeVM) respond(w http.ResponseWriter, status int, m proto.Message) {
	raw, err := protojson.Marshal(m)
	Expect(err).NotTo(HaveOccurred())
	w.WriteHeader(status)
	_, _ = w.Write(raw) // the test notices missing bytes
}

var _ = Describe("Drain", func() {
	for _, c := range []struct {
		name    string
		changes int
		drained bool
	}{
		{"no other change", 0, true},
		{"a change in between", 1, true},
		{"changes again and again", 100, false},
	} {
		// Guards against the loss of another operator's change of the endpoint.
		It("keeps the endpoint's other settings, with "+c.name, func() {
			vm := &fakeVM{endpoint: &wire.Endpoint{Name: "engine1", Slots: 4}, version: 7, changes: c.changes}
			server := httptest.NewServer(vm)
			defer server.Close()
			client := New([]string{strings.TrimPrefix(server.URL, "http://")}, "secret")
			version, err := client.Drain("engine1", "")
			Expect(vm.endpoint.Leaving).To(Equal(c.drained))
			if !c.drained {
				var conflict *ConflictError
				Expect(errors.As(err, &conflict)).To(BeTrue())
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(version).To(Equal(vm.version))
			Expect(vm.endpoint.Slots).To(Equal(int32(4 + 10*c.changes)))
		})
	}

	It("fails if another version than the stated one last changed the endpoint", func() {
		vm := &fakeVM{endpoint: &wire.Endpoint{Name: "engine1"}, version: 7}
		server := httptest.NewServer(vm)
		defer server.Close()
		client := New([]string{strings.TrimPrefix(server.URL, "http://")}, "secret")
		_, err := client.DrainIf(6, "engine1", "")
		var conflict *ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(vm.endpoint.Leaving).To(BeFalse())
		Expect(client.DrainIf(7, "engine1", "")).To(Equal(int64(8)))
	})

	It("names an endpoint that does not exist", func() {
		server := httptest.NewServer(&fakeVM{endpoint: &wire.Endpoint{Name: "engine1"}})
		defer server.Close()
		_, err := New([]string{strings.TrimPrefix(server.URL, "http://")}, "secret").Drain("engine2", "")
		Expect(err).To(MatchError("no endpoint engine2"))
	})
})
