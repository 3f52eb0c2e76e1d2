package protobuf

import (
	"hawthornspar/core/entity"
	"hawthornspar/io/wire"
)

// ChangeToWire converts a configuration change to its wire type.
func ChangeToWire(c entity.Change) *wire.Change {
	m := &wire.Change{
		Version: c.Version, Operation: c.Operation, Operator: c.Operator,
		UnixMillis: c.UnixMillis, Remove: c.Remove,
	}
	switch it := c.Item.(type) {
	case entity.APIKey:
		m.Entity = &wire.Change_ApiKey{ApiKey: &wire.ApiKey{
			Hash: it.Hash, Account: it.Account, Budget: it.Budget, Rank: it.Rank, Operator: it.Operator,
		}}
	case entity.Account:
		m.Entity = &wire.Change_Account{Account: &wire.Account{Name: it.Name, Share: it.Share}}
	case entity.Service:
		m.Entity = &wire.Change_Service{Service: &wire.Service{
			Name: it.Name, Kind: it.Kind, Repeatable: it.Idempotent, Price: it.Price, MaxTokens: it.MaxTokens,
		}}
	case entity.Rank:
		m.Entity = &wire.Change_Rank{Rank: &wire.Rank{
			Name: it.Name, Order: int32(it.Order), TargetMillis: it.TargetMillis,
			Worth: it.Worth, FloorPercent: int32(it.FloorPercent),
		}}
	case entity.EndpointSpec:
		m.Entity = &wire.Change_Endpoint{Endpoint: &wire.Endpoint{
			Name: it.Name, Address: it.Address, Domain: it.Domain, Services: it.Services,
			Slots: int32(it.Slots), Leaving: it.Draining,
		}}
	case entity.Quarantine:
		m.Entity = &wire.Change_Quarantine{Quarantine: &wire.Quarantine{Fingerprint: it.Fingerprint, Released: it.Released}}
	case entity.TopUp:
		m.Entity = &wire.Change_TopUp{TopUp: &wire.TopUp{Budget: it.Budget, Tokens: it.Tokens}}
	}
	return m
}

// ChangeFromWire converts a configuration change from its wire type. Item is nil
// if this version of the software does not know its kind.
func ChangeFromWire(m *wire.Change) entity.Change {
	c := entity.Change{
		Version: m.Version, Operation: m.Operation, Operator: m.Operator,
		UnixMillis: m.UnixMillis, Remove: m.Remove,
	}
	switch it := m.Entity.(type) {
	case *wire.Change_ApiKey:
		k := it.ApiKey
		c.Item = entity.APIKey{Hash: k.Hash, Account: k.Account, Budget: k.Budget, Rank: k.Rank, Operator: k.Operator}
	case *wire.Change_Account:
		c.Item = entity.Account{Name: it.Account.Name, Share: it.Account.Share}
	case *wire.Change_Service:
		s := it.Service
		c.Item = entity.Service{Name: s.Name, Kind: s.Kind, Idempotent: s.Repeatable, Price: s.Price, MaxTokens: s.MaxTokens}
	case *wire.Change_Rank:
		r := it.Rank
		c.Item = entity.Rank{
			Name: r.Name, Order: int(r.Order), TargetMillis: r.TargetMillis,
			Worth: r.Worth, FloorPercent: int(r.FloorPercent),
		}
	case *wire.Change_Endpoint:
		e := it.Endpoint
		c.Item = entity.EndpointSpec{
			Name: e.Name, Address: e.Address, Domain: e.Domain, Services: e.Services,
			Slots: int(e.Slots), Draining: e.Leaving,
		}
	case *wire.Change_Quarantine:
		c.Item = entity.Quarantine{Fingerprint: it.Quarantine.Fingerprint, Released: it.Quarantine.Released}
	case *wire.Change_TopUp:
		c.Item = entity.TopUp{Budget: it.TopUp.Budget, Tokens: it.TopUp.Tokens}
	}
	return c
}

func changesToWire(changes []entity.Change) []*wire.Change {
	var all []*wire.Change
	for _, c := range changes {
		all = append(all, ChangeToWire(c))
	}
	return all
}

func changesFromWire(changes []*wire.Change) []entity.Change {
	var all []entity.Change
	for _, c := range changes {
		all = append(all, ChangeFromWire(c))
	}
	return all
}
