// Package protobuf converts between the core's types and the wire types, which
// are stored in the platform's table service and sent between VMs.
package protobuf

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"hawthornspar/core/entity"
	"hawthornspar/io/wire"
)

// DecodeError reports a document that cannot be decoded.
type DecodeError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *DecodeError) Error() string { return "decode " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// Encode returns the stored form of a document. It returns nil for
// entity.Tombstone, as a transaction deletes a row by a put without a value.
func Encode(document entity.Document) []byte {
	m := documentToWire(document)
	if m == nil {
		return nil
	}
	raw, err := proto.Marshal(m)
	if err != nil {
		panic(err) // Marshal fails only for a string that is not valid UTF-8
	}
	if raw == nil {
		raw = []byte{} // nil would delete the row
	}
	return raw
}

// documentToWire returns the wire type of a document, or nil if it has none.
func documentToWire(document entity.Document) proto.Message {
	switch d := document.(type) {
	case entity.BudgetRow:
		return &wire.BudgetRow{Prepaid: d.Prepaid, Drawn: d.Drawn, Returned: d.Returned, Holders: d.Holders}
	case entity.GrantRow:
		return &wire.GrantRow{Budget: d.Budget, Drawn: d.Drawn, Spent: d.Spent, Returned: d.Returned, Sequence: d.Sequence}
	case entity.VMRow:
		return &wire.VmRow{
			Name: d.Name, Incarnation: d.Incarnation, Sequence: d.Sequence, Address: d.Address,
			Domain: d.Domain, Unrecovered: d.UnrecoveredIncarnations, Closed: d.Closed,
		}
	case entity.LedgerRow:
		return &wire.LedgerRow{Charges: chargesToWire(d.Charges)}
	case entity.ClaimRow:
		return &wire.ClaimRow{
			Holder: d.Holder, Token: d.Token, Done: d.Done, Status: int32(d.Status),
			ContentType: d.ContentType, Body: d.Body, Fingerprint: []byte(d.Fingerprint),
		}
	case entity.ConfigHead:
		return &wire.ConfigHead{Version: d.Version}
	case entity.Change:
		return ChangeToWire(d)
	}
	return nil
}

// Decode decodes a stored document, whose type follows from the prefix of key.
func Decode(key string, raw []byte) (entity.Document, error) {
	m := messageFor(key)
	if m == nil {
		return nil, &DecodeError{Key: key, Cause: errUnknownKey}
	}
	if err := proto.Unmarshal(raw, m); err != nil {
		return nil, &DecodeError{Key: key, Cause: err}
	}
	return documentFromWire(m), nil
}

// constError is an error that can be a constant.
type constError string

func (e constError) Error() string { return string(e) }

const errUnknownKey constError = "no document type matches this key"

// messageFor returns an empty message of the type that is stored under key, or
// nil if there is no such type.
func messageFor(key string) proto.Message {
	prefix, _, _ := strings.Cut(key, "/")
	switch {
	case key == entity.HeadKey:
		return &wire.ConfigHead{}
	case strings.HasPrefix(key, entity.ChangePrefix), prefix == "operation":
		return &wire.Change{}
	case prefix == "vm":
		return &wire.VmRow{}
	case prefix == "budget":
		return &wire.BudgetRow{}
	case prefix == "grant":
		return &wire.GrantRow{}
	case prefix == "ledger":
		return &wire.LedgerRow{}
	case prefix == "claim":
		return &wire.ClaimRow{}
	}
	return nil
}

func documentFromWire(m proto.Message) entity.Document {
	switch d := m.(type) {
	case *wire.BudgetRow:
		return entity.BudgetRow{Prepaid: d.Prepaid, Drawn: d.Drawn, Returned: d.Returned, Holders: d.Holders}
	case *wire.GrantRow:
		return entity.GrantRow{Budget: d.Budget, Drawn: d.Drawn, Spent: d.Spent, Returned: d.Returned, Sequence: d.Sequence}
	case *wire.VmRow:
		return entity.VMRow{
			Name: d.Name, Incarnation: d.Incarnation, Sequence: d.Sequence, Address: d.Address,
			Domain: d.Domain, UnrecoveredIncarnations: d.Unrecovered, Closed: d.Closed,
		}
	case *wire.LedgerRow:
		return entity.LedgerRow{Charges: chargesFromWire(d.Charges)}
	case *wire.ClaimRow:
		return entity.ClaimRow{
			Holder: d.Holder, Token: d.Token, Done: d.Done, Status: int(d.Status),
			ContentType: d.ContentType, Body: d.Body, Fingerprint: string(d.Fingerprint),
		}
	case *wire.ConfigHead:
		return entity.ConfigHead{Version: d.Version}
	case *wire.Change:
		return ChangeFromWire(d)
	}
	return nil
}

func chargesToWire(charges []entity.Charge) []*wire.Charge {
	var all []*wire.Charge
	for _, c := range charges {
		all = append(all, &wire.Charge{
			Budget: c.Budget, RequestKey: c.RequestKey, Tokens: c.Tokens, Origin: c.Origin,
			Sequence: c.Sequence, Rank: c.Rank, Service: c.Service,
		})
	}
	return all
}

func chargesFromWire(charges []*wire.Charge) []entity.Charge {
	var all []entity.Charge
	for _, c := range charges {
		all = append(all, entity.Charge{
			Budget: c.Budget, RequestKey: c.RequestKey, Tokens: c.Tokens, Origin: c.Origin,
			Sequence: c.Sequence, Rank: c.Rank, Service: c.Service,
		})
	}
	return all
}
