package main

import (
	"reflect"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/retrybudget"
	"hawthornspar/io/settings"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hawthornspard")
}

var _ = Describe("gatewaySettings", func() {
	It("sets every field", func() {
		s := gatewaySettings(settings.Gateway{
			Name: "a", FailureDomain: "b", Listen: "c", ReadyListen: "d", PeerListen: "e", ControlListen: "f", Seeds: []string{"g"}, MetricsListen: "h",
			RetryRatio: 0.1, RetryExtra: 1, RetryWindow: time.Second, GracePeriod: time.Second, DrainNotice: time.Second, BudgetReportInterval: time.Second, StoreWritesPerSecond: 1, BudgetGroups: 1, LinkMbps: 1, MemoryMB: 1, ColdOverrun: 1, ColdSlack: 1,
		})
		Expect(s.Retries).To(Equal(retrybudget.Limit{Ratio: 0.1, Extra: 1, Window: time.Second}))
		v := reflect.ValueOf(s)
		for i := range v.NumField() {
			Expect(v.Field(i).IsZero()).To(BeFalse(), v.Type().Field(i).Name)
		}
	})
})
