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

// slowReader blocks each write until it is released.
type slowReader struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *slowReader) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *slowReader) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

var _ = Describe("Writer", func() {
	It("never waits for a reader that stopped, and tells later how many lines it dropped", func() {
		out := &slowReader{release: make(chan struct{})}
		w := NewWriter(out)
		begun := time.Now()
		const lines = 3 * queueLines
		for range lines {
			_, err := io.WriteString(w, "a line\n")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
		dropped := w.Dropped()
		Expect(dropped).To(BeNumerically(">", lines/2))
		Expect(w.Flush(10 * time.Millisecond)).To(BeFalse())
		close(out.release)
		_, err := io.WriteString(w, "the last line\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(w.Flush(5 * time.Second)).To(BeTrue())
		Expect(out.String()).To(ContainSubstring("log lines dropped"))
	})

	It("has written every line when a flush returns", func() {
		out := &slowReader{release: make(chan struct{})}
		close(out.release)
		w := NewWriter(out)
		_, err := io.WriteString(w, "stopped\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(w.Flush(5 * time.Second)).To(BeTrue())
		Expect(out.String()).To(Equal("stopped\n"))
	})
})
