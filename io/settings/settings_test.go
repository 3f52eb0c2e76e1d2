package settings

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/io/certificate"
)

func validSettings() Settings {
	now := time.Now()
	authority, err := certificate.NewAuthority(now, time.Hour)
	Expect(err).NotTo(HaveOccurred())
	own, err := certificate.IssueVM(authority, "entry1", now, time.Hour)
	Expect(err).NotTo(HaveOccurred())
	return Settings{
		Name: "entry1", FailureDomain: "north", Listen: "10.0.0.1:8080", OperatorListen: "127.0.0.1:8081",
		PeerListen: "0.0.0.0:8082", PeerAddress: "10.0.0.1:8082", Platform: "10.0.0.9:7000",
		Authority: string(authority.Certificate), Certificate: string(own.Certificate), Key: string(own.Key),
		FlushInterval: 2 * time.Second, GrantHorizon: time.Minute, MaxListLag: time.Second,
	}
}

var _ = Describe("Check", func() {
	It("accepts valid settings", func() { Expect(Check(validSettings())).To(Succeed()) })

	for _, c := range []struct {
		name  string
		alter func(*Settings)
		want  []string
	}{
		{"no name", func(s *Settings) { s.Name = "" }, []string{"name is missing"}},
		{"a DNS name", func(s *Settings) { s.Platform = "table.example:7000" }, []string{"platform must be an IP number"}},
		{"port 0", func(s *Settings) { s.Listen = "10.0.0.1:0" }, []string{"listen must be an IP number"}},
		{"a short hash", func(s *Settings) { s.BootstrapHash = "abc" }, []string{"bootstrap-hash must have 64"}},
		{"several at once", func(s *Settings) { s.Name, s.FailureDomain, s.FlushInterval = "", "", 0 }, []string{"name is missing", "failure-domain is missing", "flush-every must be at least 100ms"}},
		{"another VM's certificate", func(s *Settings) { s.Name = "entry2" }, []string{"it is for VM entry1, not for entry2"}},
		{"a key of another certificate", func(s *Settings) { s.Key = validSettings().Key }, []string{"authority, certificate, key"}},
		{"an unreadable file", func(s *Settings) { s.Authority = readPEM("/nowhere") }, []string{"authority must be PEM"}},
	} {
		It("reports "+c.name, func() {
			s := validSettings()
			c.alter(&s)
			err := Check(s)
			Expect(err).To(BeAssignableToTypeOf(&Error{}))
			for _, text := range c.want {
				Expect(err.Error()).To(ContainSubstring(text))
			}
			Expect(strings.Contains(err.Error(), "PRIVATE KEY")).To(BeFalse())
		})
	}
})
