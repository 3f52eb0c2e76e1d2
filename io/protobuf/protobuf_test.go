package protobuf

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/entity"
)

var _ = Describe("documents", func() {
	charge := entity.Charge{Budget: "a/main", RequestKey: "k/12345678", Tokens: 9, Origin: "r1.1", Sequence: 3, Rank: "bulk", Service: "small"}
	for _, c := range []struct {
		key      string
		document entity.Document
	}{
		{"budget/a/main", entity.BudgetRow{Prepaid: 9, Drawn: 5, Returned: 1, Holders: []string{"r1.1"}}},
		{"grant/r1.1/a/main", entity.GrantRow{Budget: "a/main", Drawn: 5, Spent: 2, Returned: 1, Sequence: 3}},
		{"vm/r1", entity.VMRow{Name: "r1", Incarnation: "r1.1", Sequence: 2, Address: "10.0.0.1:1", Domain: "d", UnrecoveredIncarnations: []string{"r1.0"}, Closed: true}},
		{"ledger/r1.1/000000000001", entity.LedgerRow{Charges: []entity.Charge{charge}}},
		{"claim/a/k", entity.ClaimRow{Holder: "r1.1", Token: "t", Done: true, Status: 200, ContentType: "text/plain", Body: []byte("x"), Fingerprint: "ff"}},
		{entity.HeadKey, entity.ConfigHead{Version: 4}},
		{entity.ChangeKey(4), entity.Change{Version: 4, Operation: "o", Operator: "anna", UnixMillis: 5, Item: entity.APIKey{Hash: "h", Account: "a", Budget: "a/main", Rank: "bulk"}}},
		{entity.OperationKey("o"), entity.Change{Version: 4, Remove: true, Item: entity.EndpointSpec{Name: "e", Address: "10.0.0.2:1", Domain: "d", Services: []string{"small"}, Slots: 3, Draining: true}}},
		{entity.ChangeKey(5), entity.Change{Version: 5, Item: entity.Rank{Name: "bulk", Order: 2, TargetMillis: 9, Worth: 1, FloorPercent: 5}}},
		{entity.ChangeKey(6), entity.Change{Version: 6, Item: entity.Service{Name: "s", Kind: "app", Idempotent: true, Price: 1, MaxTokens: 2}}},
		{entity.ChangeKey(7), entity.Change{Version: 7, Item: entity.TopUp{Budget: "a/main", Tokens: 3}}},
		{entity.ChangeKey(8), entity.Change{Version: 8, Item: entity.Quarantine{Fingerprint: "f", Released: true}}},
	} {
		It("decode to the value encoded: "+c.key, func() {
			got, err := Decode(c.key, Encode(c.document))
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(c.document))
		})
	}

	It("of an unknown key return a DecodeError", func() {
		_, err := Decode("other/x", nil)
		Expect(err).To(BeAssignableToTypeOf(&DecodeError{}))
	})
})

var _ = Describe("messages", func() {
	for _, m := range []entity.Message{
		entity.Heartbeat{ConfigVersion: 3, ShuttingDown: true},
		entity.CopyCharges{Charges: []entity.Charge{{Budget: "a/main", Sequence: 1}}},
		entity.CopyAck{Sequences: []int64{1, 2}, Refused: true},
		entity.Flushed{Sequence: 9},
		entity.RecallRequest{Budget: "a/main", Need: 4, OfferOnly: true},
		entity.RecallReply{Budget: "a/main", Returned: 1, Free: 2, Reserved: 3},
		entity.RecoverRequest{Incarnation: "r1.1"},
		entity.RecoverReply{Incarnation: "r1.1", Charges: []entity.Charge{{Budget: "a/main", Tokens: 1}}},
		entity.Recovered{Incarnation: "r1.1"},
		entity.ConfigPush{Changes: []entity.Change{{Version: 1, Item: entity.Account{Name: "a", Share: 2}}}},
		entity.SuspectReport{Fingerprint: "f", Crashes: 2, Endpoint: "e"},
	} {
		It("decode to the value encoded", func() { Expect(MessageFromWire(MessageToWire(m))).To(Equal(m)) })
	}
})
