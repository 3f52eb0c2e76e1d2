package entity

// Message is sent from one VM to another.
type Message interface{ message() }

// Heartbeat announces that the sender is alive and the version of its
// configuration.
type Heartbeat struct {
	ConfigVersion int64
	ShuttingDown  bool // the sender is shutting down
}

// CopyCharges asks the receiver to store copies of charges until the charges are
// in the ledger.
type CopyCharges struct{ Charges []Charge }

// CopyAck acknowledges copies of the charges with these sequence numbers.
// Refused rejects the copies instead, since the recovery of the incarnation that
// sent them has begun.
type CopyAck struct {
	Sequences []int64
	Refused   bool
}

// Flushed announces that all of the sender's charges up to Sequence are in the
// ledger, so that their copies can be deleted.
type Flushed struct{ Sequence int64 }

// RecallRequest asks the receiver to return free tokens of a budget to the
// table. With OfferOnly, the receiver only reports its free tokens.
type RecallRequest struct {
	Budget    string
	Need      int64 // shortfall of the sender, in tokens
	OfferOnly bool
}

// RecallReply reports, in tokens, how much of a budget the sender returned to the
// table, how much it still has free and how much is reserved for its requests.
type RecallReply struct {
	Budget   string
	Returned int64
	Free     int64
	Reserved int64
}

// RecoverRequest asks for the receiver's copies of charges of an ended
// incarnation.
type RecoverRequest struct{ Incarnation string }

// RecoverReply lists the sender's copies of charges of an ended incarnation.
type RecoverReply struct {
	Incarnation string
	Charges     []Charge
}

// ConfigPush distributes configuration changes.
type ConfigPush struct{ Changes []Change }

// SuspectReport announces how many crashes of endpoints are attributed to the
// requests with a fingerprint. Crashes of 0 clears the suspicion.
type SuspectReport struct {
	Fingerprint string
	Crashes     int
	Endpoint    string // endpoint that crashed last
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

// Recovered announces that an incarnation's grants have been returned and its
// charges are in the ledger.
type Recovered struct{ Incarnation string }

func (Recovered) message() {}
