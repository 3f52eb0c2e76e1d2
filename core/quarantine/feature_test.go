package quarantine

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The feature of a request", func() {
	base := RequestFeature("acme", "/look/7", []byte("body"))
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
			Expect(RequestFeature(c.account, c.path, []byte(c.body)) == base).To(Equal(c.same))
		})
	}
})

var _ = Describe("The features of a prompt's parts", func() {
	for _, c := range []struct {
		name string
		ids  []string
		want []Feature
	}{
		{"none", nil, nil},
		{"their ids", []string{"5c1e07a2", "91bd3f06"}, []Feature{"part:5c1e07a2", "part:91bd3f06"}},
		{"each once", []string{"a", "b", "a"}, []Feature{"part:a", "part:b"}},
		{"a hash of an unusual id", []string{"a/b"}, []Feature{"part:#828712809a185aae"}},
	} {
		It("are "+c.name, func() { Expect(PartFeatures(c.ids)).To(Equal(c.want)) })
	}

	// Guards against a part that is never found because of where it stands in a long prompt.
	It("are those of all parts, bounded in length and without a slash", func() {
		var ids []string
		for i := range manyParts {
			ids = append(ids, fmt.Sprintf("%d/%s", i, strings.Repeat("x", i)))
		}
		features := PartFeatures(ids)
		Expect(features).To(HaveLen(manyParts))
		for i, f := range features {
			Expect(f).To(Equal(partFeature(ids[i])))
			Expect(len(f)).To(BeNumerically("<=", maxFeatureBytes))
			Expect(string(f)).NotTo(ContainSubstring("/"))
		}
	})
})
