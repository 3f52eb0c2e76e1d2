package entity

// Charge records the tokens that one request has to pay. Only the first
// committed charge with a given Budget and RequestKey counts; the tokens of
// later ones are credited back.
type Charge struct {
	Budget     string
	RequestKey string
	Tokens     int64
	Origin     string // incarnation of the VM that ran the request
	Sequence   int64  // position among the charges of Origin, from 1
	Rank       string
	Service    string
}

// ChargeKey identifies the charge of one request.
type ChargeKey struct {
	Budget     string
	RequestKey string
}

// ID returns the key by which duplicate charges are detected.
func (c Charge) ID() ChargeKey { return ChargeKey{c.Budget, c.RequestKey} }
