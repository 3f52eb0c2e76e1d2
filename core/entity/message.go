package entity

// Message is sent from one VM to another.
type Message interface{ message() }

// Heartbeat tells that the sender lives and which configuration it has.
type Heartbeat struct {
	ConfigVersion int64
	Leaving       bool
}

// CopyCharges asks the receiver to keep charges until they are in the ledger.
type CopyCharges struct{ Charges []Charge }

// CopyAck says that charges with these sequence numbers are kept. Refused
// says instead that the receiver counts as dead and is being recovered.
type CopyAck struct {
	Sequences []int64
	Refused   bool
}

// Flushed says that all charges up to Sequence are in the ledger.
type Flushed struct{ Sequence int64 }

// RecallRequest asks for idle tokens of a budget: to return them to the table,
// or, with OfferOnly, just to say what is free.
type RecallRequest struct {
	Budget    string
	Need      int64
	OfferOnly bool
}

// RecallReply tells what the sender returned to the table, what it still has
// free, and what its running requests reserve, in tokens.
type RecallReply struct {
	Budget   string
	Returned int64
	Free     int64
	Reserved int64
}

// RecoverRequest asks for the charges kept for a dead incarnation.
type RecoverRequest struct{ Incarnation string }

// RecoverReply lists the charges kept for a dead incarnation.
type RecoverReply struct {
	Incarnation string
	Charges     []Charge
}

// ConfigPush passes on configuration changes.
type ConfigPush struct{ Changes []Change }

// SuspectReport tells that endpoints died while running a fingerprint.
type SuspectReport struct {
	Fingerprint string
	Deaths      int
	Endpoint    string
}

func (Heartbeat) message()      {}
func (CopyCharges) message()    {}
func (CopyAck) message()        {}
func (Flushed) message()        {}
func (RecallRequest) message()  {}
func (RecallReply) message()    {}
func (RecoverRequest) message() {}
func (RecoverReply) message()   {}
func (ConfigPush) message()     {}
func (SuspectReport) message()  {}

// Recovered says that an incarnation's grants are returned and its charges
// are in the ledger.
type Recovered struct{ Incarnation string }

func (Recovered) message() {}
