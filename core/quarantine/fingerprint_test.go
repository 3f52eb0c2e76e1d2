package quarantine

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A fingerprint", func() {
	base := FingerprintOf("acme", "/look/7", []byte("body"))
	for _, c := range []struct {
		name, account, path, body string
		same                      bool
	}{
		{"the same request", "acme", "/look/7", "body", true},
		{"another account", "other", "/look/7", "body", false},
		{"another path", "acme", "/look/8", "body", false},
		{"another body", "acme", "/look/7", "bodz", false},
		{"the same text, divided otherwise", "acme/", "look/7", "body", false},
	} {
		It("compares account, path and body: "+c.name, func() {
			Expect(FingerprintOf(c.account, c.path, []byte(c.body)) == base).To(Equal(c.same))
		})
	}
})
