package protobuf

import (
	"hawthornspar/core/entity"
	"hawthornspar/io/wire"
)

// MessageToWire converts a message between VMs to its wire type.
func MessageToWire(message entity.Message) *wire.PeerMessage {
	m := &wire.PeerMessage{}
	switch b := message.(type) {
	case entity.Heartbeat:
		m.Body = &wire.PeerMessage_Heartbeat{Heartbeat: &wire.Heartbeat{ConfigVersion: b.ConfigVersion, Leaving: b.ShuttingDown}}
	case entity.CopyCharges:
		m.Body = &wire.PeerMessage_CopyCharges{CopyCharges: &wire.CopyCharges{Charges: chargesToWire(b.Charges)}}
	case entity.CopyAck:
		m.Body = &wire.PeerMessage_CopyAck{CopyAck: &wire.CopyAck{Sequences: b.Sequences, Refused: b.Refused}}
	case entity.Flushed:
		m.Body = &wire.PeerMessage_Flushed{Flushed: &wire.Flushed{Sequence: b.Sequence}}
	case entity.RecallRequest:
		m.Body = &wire.PeerMessage_RecallRequest{RecallRequest: &wire.RecallRequest{Budget: b.Budget, Need: b.Need, OfferOnly: b.OfferOnly}}
	case entity.RecallReply:
		m.Body = &wire.PeerMessage_RecallReply{RecallReply: &wire.RecallReply{
			Budget: b.Budget, Returned: b.Returned, Free: b.Free, Reserved: b.Reserved,
		}}
	case entity.RecoverRequest:
		m.Body = &wire.PeerMessage_RecoverRequest{RecoverRequest: &wire.RecoverRequest{Incarnation: b.Incarnation}}
	case entity.RecoverReply:
		m.Body = &wire.PeerMessage_RecoverReply{RecoverReply: &wire.RecoverReply{
			Incarnation: b.Incarnation, Charges: chargesToWire(b.Charges),
		}}
	case entity.Recovered:
		m.Body = &wire.PeerMessage_Recovered{Recovered: &wire.Recovered{Incarnation: b.Incarnation}}
	case entity.ConfigPush:
		m.Body = &wire.PeerMessage_ConfigPush{ConfigPush: &wire.ConfigPush{Changes: changesToWire(b.Changes)}}
	case entity.SuspectReport:
		m.Body = &wire.PeerMessage_Suspect{Suspect: &wire.Suspect{
			Fingerprint: b.Fingerprint, Deaths: int32(b.Crashes), Endpoint: b.Endpoint,
		}}
	}
	return m
}

// MessageFromWire converts a message between VMs from its wire type. It returns
// nil if this version of the software does not know the message's kind.
func MessageFromWire(m *wire.PeerMessage) entity.Message {
	switch b := m.Body.(type) {
	case *wire.PeerMessage_Heartbeat:
		return entity.Heartbeat{ConfigVersion: b.Heartbeat.ConfigVersion, ShuttingDown: b.Heartbeat.Leaving}
	case *wire.PeerMessage_CopyCharges:
		return entity.CopyCharges{Charges: chargesFromWire(b.CopyCharges.Charges)}
	case *wire.PeerMessage_CopyAck:
		return entity.CopyAck{Sequences: b.CopyAck.Sequences, Refused: b.CopyAck.Refused}
	case *wire.PeerMessage_Flushed:
		return entity.Flushed{Sequence: b.Flushed.Sequence}
	case *wire.PeerMessage_RecallRequest:
		r := b.RecallRequest
		return entity.RecallRequest{Budget: r.Budget, Need: r.Need, OfferOnly: r.OfferOnly}
	case *wire.PeerMessage_RecallReply:
		r := b.RecallReply
		return entity.RecallReply{Budget: r.Budget, Returned: r.Returned, Free: r.Free, Reserved: r.Reserved}
	case *wire.PeerMessage_RecoverRequest:
		return entity.RecoverRequest{Incarnation: b.RecoverRequest.Incarnation}
	case *wire.PeerMessage_RecoverReply:
		return entity.RecoverReply{Incarnation: b.RecoverReply.Incarnation, Charges: chargesFromWire(b.RecoverReply.Charges)}
	case *wire.PeerMessage_Recovered:
		return entity.Recovered{Incarnation: b.Recovered.Incarnation}
	case *wire.PeerMessage_ConfigPush:
		return entity.ConfigPush{Changes: changesFromWire(b.ConfigPush.Changes)}
	case *wire.PeerMessage_Suspect:
		s := b.Suspect
		return entity.SuspectReport{Fingerprint: s.Fingerprint, Crashes: int(s.Deaths), Endpoint: s.Endpoint}
	}
	return nil
}
