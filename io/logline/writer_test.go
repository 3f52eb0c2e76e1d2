package logline

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logline")
}

// gatedWriter blocks each Write until a value arrives on release or it is closed.
type gatedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (g *gatedWriter) Write(p []byte) (int, error) {
	<-g.release
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

func (g *gatedWriter) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.String()
}

var _ = Describe("Writer", func() {
	It("does not block on a stalled reader, and logs the number of dropped lines later", func() {
		out := &gatedWriter{release: make(chan struct{})}
		w := NewWriter(out)
		start := time.Now()
		const lines = 3 * queueLines
		for range lines {
			_, err := io.WriteString(w, "a line\n")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		dropped := w.Dropped()
		Expect(dropped).To(BeNumerically(">", lines/2))
		Expect(w.Flush(10 * time.Millisecond)).To(BeFalse())
		close(out.release)
		_, err := io.WriteString(w, "the last line\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(w.Flush(5 * time.Second)).To(BeTrue())
		Expect(out.String()).To(ContainSubstring("log lines dropped"))
	})

	It("has written every queued line when Flush returns", func() {
		out := &gatedWriter{release: make(chan struct{})}
		close(out.release)
		w := NewWriter(out)
		_, err := io.WriteString(w, "stopped\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(w.Flush(5 * time.Second)).To(BeTrue())
		Expect(out.String()).To(Equal("stopped\n"))
	})
})
