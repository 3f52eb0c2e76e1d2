package gateway

import (
	"io"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Bodies of unknown length", func() {
	const memory = 4_000 // a quarter is for bodies

	It("count while they are read, and are refused once they use all memory for bodies", func() {
		g := newTestGateway(Settings{Name: "vm", MemoryBytes: memory})
		first, second := &exchange{gateway: g}, &exchange{gateway: g}
		_, err := io.ReadAll(&memoryReader{exchange: first, source: strings.NewReader(strings.Repeat("x", 700))})
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(&memoryReader{exchange: second, source: strings.NewReader(strings.Repeat("x", 700))})
		Expect(err).To(HaveOccurred())
		Expect(bodyRefusal(err)).To(Equal(&bodyMemoryFull))
	})

	It("no longer count once their requests have ended", func() {
		g := newTestGateway(Settings{Name: "vm", MemoryBytes: memory})
		for range 10 {
			x := &exchange{gateway: g}
			_, err := io.ReadAll(&memoryReader{exchange: x, source: strings.NewReader(strings.Repeat("x", 900))})
			Expect(err).NotTo(HaveOccurred())
			x.releaseBody()
		}
		Expect(g.bufferedBytes.Load()).To(BeZero())
	})
})

var _ = Describe("recordEvents", func() {
	It("counts events, but not comments", func() {
		x := &exchange{}
		x.recordEvents([]byte("id: 7\ndata: a\n\n: still here\n\nid: 8\ndata: b\n\n"))
		Expect(x.relayed.events).To(Equal(2))
		Expect(x.relayed.lastEvent).To(Equal("8"))
	})
})
