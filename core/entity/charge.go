package entity

// Charge is what one request owes. The first committed charge of a pair of
// Budget and RequestKey counts; later ones are credited back.
type Charge struct {
	Budget     string
	RequestKey string
	Tokens     int64
	Origin     string // incarnation that ran the request
	Sequence   int64  // position among the origin's charges, from 1
	Rank       string
	Service    string
}

// ChargeKey identifies the charge of one request.
type ChargeKey struct {
	Budget     string
	RequestKey string
}

// ID returns the key under which the charge counts once.
func (c Charge) ID() ChargeKey { return ChargeKey{c.Budget, c.RequestKey} }
