package settings

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const gatewayFile = `HAWTHORNSPAR_NAME=vm1
HAWTHORNSPAR_FAILURE_DOMAIN=north
HAWTHORNSPAR_LISTEN=10.0.0.1:8080
HAWTHORNSPAR_READY_LISTEN=10.0.0.1:8081
HAWTHORNSPAR_STORE=10.0.0.9:7000
HAWTHORNSPAR_STORE_WRITES=200
HAWTHORNSPAR_SEEDS=10.0.0.1:9000,10.0.0.2:9000
HAWTHORNSPAR_RETRY_RATIO=0.2
HAWTHORNSPAR_RETRY_EXTRA=56
HAWTHORNSPAR_RETRY_WINDOW=10s
HAWTHORNSPAR_GRACE=8s
HAWTHORNSPAR_BUDGET_REPORT=500ms
`

var _ = Describe("ParseGateway", func() {
	// Guards against settings of the environment that are lost, or go before the file.
	It("takes what the file lacks from the defaults, and nothing else", func() {
		defaults := map[string]string{"HAWTHORNSPAR_COLD_SLACK": "5", "HAWTHORNSPAR_NAME": "other"}
		g, err := ParseGatewayWithDefaults([]byte(gatewayFile), func(name string) string { return defaults[name] })
		Expect(err).NotTo(HaveOccurred())
		Expect(g.ColdSlack).To(Equal(5.0))
		Expect(g.Name).NotTo(Equal("other"))
	})

	It("parses a settings file and ignores unknown names", func() {
		g, err := ParseGateway([]byte(gatewayFile + "SOMETHING_NEW=1\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(g.Seeds).To(HaveLen(2))
		Expect(g.RetryWindow).To(Equal(10 * time.Second))
	})

	It("parses the output of Text", func() {
		g, err := ParseGateway([]byte(gatewayFile))
		Expect(err).NotTo(HaveOccurred())
		again, err := ParseGateway([]byte(g.Text()))
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(g))
	})

	for _, c := range []struct{ name, from, to, want string }{
		{"a required setting is missing", "HAWTHORNSPAR_NAME=vm1\n", "", "HAWTHORNSPAR_NAME is missing"},
		{"a host name instead of an IP", "10.0.0.9:7000", "store:7000", "HAWTHORNSPAR_STORE must be an IP number"},
		{"a duration without a unit", "GRACE=8s", "GRACE=8", "HAWTHORNSPAR_GRACE cannot be read"},
		{"a value out of range", "WINDOW=10s", "WINDOW=1ms", "HAWTHORNSPAR_RETRY_WINDOW must be at least 1s"},
		{"an invalid element of a list", "10.0.0.2:9000", "nowhere", "HAWTHORNSPAR_SEEDS"},
	} {
		It("names the invalid setting: "+c.name, func() {
			_, err := ParseGateway([]byte(strings.Replace(gatewayFile, c.from, c.to, 1)))
			Expect(err).To(MatchError(ContainSubstring(c.want)))
		})
	}

	It("separates settings that a reload applies from those that need a restart", func() {
		before, err := ParseGateway([]byte(gatewayFile))
		Expect(err).NotTo(HaveOccurred())
		after := before
		after.RetryExtra, after.Listen = 90, "10.0.0.1:1"
		applied, afterRestart := Diff(before, after)
		Expect(applied).To(ConsistOf("HAWTHORNSPAR_RETRY_EXTRA"))
		Expect(afterRestart).To(ConsistOf("HAWTHORNSPAR_LISTEN"))
	})
})
