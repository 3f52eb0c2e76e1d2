package relaybuffer

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relaybuffer")
}

// countingSource is a response without end that counts what was read of it.
type countingSource struct{ read atomic.Int64 }

func (s *countingSource) Read(p []byte) (int, error) {
	s.read.Add(int64(len(p)))
	return len(p), nil
}

// stalledWrite is a write to a client that lasts until it is released.
type stalledWrite struct {
	reader  *Reader
	release chan bool
	ended   sync.WaitGroup
}

func newStalledWrite(r *Reader) *stalledWrite {
	w := &stalledWrite{reader: r, release: make(chan bool)}
	w.ended.Add(1)
	go w.run()
	return w
}

func (w *stalledWrite) run() {
	defer w.ended.Done()
	_ = w.reader.Write(func() error { <-w.release; return nil })
}

func (w *stalledWrite) end() {
	close(w.release)
	w.ended.Wait()
}

var _ = Describe("Reader", func() {
	It("never reads ahead of a client that keeps up", func() {
		source, ahead := &countingSource{}, false
		m := NewMemory(1 << 20)
		r := m.NewReader(source, OnAhead(func() { ahead = true }))
		part := make([]byte, 100)
		for range 100 {
			_, err := r.Read(part)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Write(func() error { return nil })).To(Succeed())
		}
		time.Sleep(2 * stallDelay)
		Expect(ahead).To(BeFalse())
		Expect(source.read.Load()).To(Equal(int64(10_000)))
		Expect(m.Used()).To(BeZero())
	})

	// Guards against bytes that are lost or repeated where reading ahead begins.
	It("reads all bytes once and in order, and then how the source ended", func() {
		whole := make([]byte, 200_000)
		for i := range whole {
			whole[i] = byte(i * i >> 8)
		}
		m := NewMemory(1 << 20)
		r := m.NewReader(io.MultiReader(bytes.NewReader(whole), &failingSource{}))
		var got []byte
		part := make([]byte, 3_000)
		for i := 0; ; i++ {
			n, err := r.Read(part)
			got = append(got, part[:n]...)
			if err != nil {
				Expect(err).To(MatchError(io.ErrNoProgress))
				break
			}
			Expect(r.Write(func() error {
				if i == 3 {
					time.Sleep(3 * stallDelay)
				}
				return nil
			})).To(Succeed())
		}
		Expect(bytes.Equal(got, whole)).To(BeTrue())
		r.Close()
		Expect(m.Used()).To(BeZero())
	})

	It("holds a bounded part of a response, and frees it when it is closed", func() {
		source := &countingSource{}
		m := NewMemory(1 << 20)
		r := m.NewReader(source)
		w := newStalledWrite(r)
		Eventually(m.Used).Should(Equal(int64(maxResponseBytes)))
		Consistently(source.read.Load, 2*stallDelay).Should(Equal(int64(maxResponseBytes)))
		r.Close()
		Expect(m.Used()).To(BeZero())
		w.end()
	})

	// Guards against the cut of a response whose client reads, or that holds little.
	It("cuts off the response with most bytes and time without progress when all memory is in use", func() {
		m := NewMemory(2*maxResponseBytes + chunkBytes)
		cut := make(chan string, 3)
		open := func(name string) (*Reader, *stalledWrite) {
			r := m.NewReader(&countingSource{}, OnCut(func() { cut <- name }))
			return r, newStalledWrite(r)
		}
		first, w1 := open("first")
		time.Sleep(stallDelay)
		second, w2 := open("second")
		Eventually(m.Used).Should(Equal(int64(2 * maxResponseBytes)))
		third, w3 := open("third")
		Consistently(cut, 500*time.Millisecond).ShouldNot(Receive(), "no one has stalled for long")
		Eventually(cut).WithTimeout(2 * time.Second).Should(Receive(Equal("first")))
		Eventually(m.Used).Should(Equal(int64(2 * maxResponseBytes)))
		Expect(first.Cut()).NotTo(BeNil())
		Expect(second.Cut()).To(BeNil())
		w1.end()
		_, err := first.Read(make([]byte, 1))
		Expect(err).To(BeAssignableToTypeOf(&CutError{}))
		for _, r := range []*Reader{first, second, third} {
			r.Close()
		}
		w2.end()
		w3.end()
		Expect(m.Used()).To(BeZero())
	})

	It("counts what its caller holds, up to the limit", func() {
		m := NewMemory(100_000)
		r := m.NewReader(&countingSource{})
		Expect(r.Hold(60_000)).To(Succeed())
		Expect(r.Hold(90_000)).To(Succeed())
		Expect(r.Hold(110_000)).To(BeAssignableToTypeOf(&FullError{}))
		Expect(r.Hold(20_000)).To(Succeed())
		Expect(m.Used()).To(Equal(int64(20_000)))
		r.Close()
		Expect(m.Used()).To(BeZero())
	})
})

// failingSource is a response that breaks off.
type failingSource struct{}

func (*failingSource) Read([]byte) (int, error) { return 0, io.ErrNoProgress }
