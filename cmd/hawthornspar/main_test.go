package main

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hawthornspar")
}

var _ = Describe("operationOf", func() {
	// Guards against an account without tokens or a key, as changes of one command count as
	// repeats of its first.
	It("names each change of a command differently", func() {
		Expect(operationOf("op", "account")).NotTo(Equal(operationOf("op", "key")))
		Expect(operationOf("op", "topUp")).NotTo(Equal(operationOf("op", "key")))
		Expect(operationOf("op", "")).To(Equal("op"))
		Expect(operationOf("", "key")).To(BeEmpty())
	})
})
