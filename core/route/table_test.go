package route

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func testTable() *Table {
	prepaid, first := int64(100), 0
	return NewTable(&Document{
		Version: 3,
		Routes: []Route{
			{Name: "wide", Host: "a.example", Prefix: "/x/", Priority: 2, Splits: []Split{{Service: "one", Weight: 1}}},
			{Name: "narrow", Host: "a.example", Prefix: "/x/y/", Priority: 2, Splits: []Split{{Service: "one", Weight: 3}, {Service: "two", Weight: 1}}},
			{Name: "open", Host: "b.example", Prefix: "/", Anonymous: true},
		},
		Accounts: []Account{{Name: "acme", Keys: []string{"k1", "k2"}, Priority: &first, Prepaid: &prepaid}},
	})
}

var _ = Describe("Table", func() {
	for _, c := range []struct{ name, host, path, want string }{
		{"longest prefix", "a.example", "/x/y/z", "narrow"},
		{"shorter prefix", "a.example", "/x/z", "wide"},
		{"host without its port, in any case", "A.Example:8080", "/x/", "wide"},
		{"whole path segments", "a.example", "/xy/", ""},
		{"another host", "c.example", "/x/", ""},
		{"raw path with dot segments", "a.example", "/x/../q/", "wide"},
	} {
		It("matches by "+c.name, func() {
			r := testTable().Match(c.host, c.path)
			if c.want == "" {
				Expect(r).To(BeNil())
				return
			}
			Expect(r.Name).To(Equal(c.want))
		})
	}

	It("finds accounts by any of their keys, and needs no key for anonymous routes", func() {
		t := testTable()
		Expect(t.Account("k2").Name).To(Equal("acme"))
		Expect(t.Account("k3")).To(BeNil())
		Expect(t.NeedsKey(t.Match("a.example", "/x/"))).To(BeTrue())
		Expect(t.NeedsKey(t.Match("b.example", "/x/"))).To(BeFalse())
	})

	It("picks services by weight", func() {
		r := testTable().Match("a.example", "/x/y/")
		for _, c := range []struct {
			point float64
			want  string
		}{{0, "one"}, {0.74, "one"}, {0.76, "two"}, {0.999, "two"}} {
			Expect(r.PickService(c.point)).To(Equal(c.want))
		}
	})

	It("prefers the priority of the account to the priority of the route", func() {
		t := testTable()
		r := t.Match("a.example", "/x/")
		Expect(r.EffectivePriority(t.Account("k1"))).To(Equal(0))
		Expect(r.EffectivePriority(nil)).To(Equal(2))
	})
})
