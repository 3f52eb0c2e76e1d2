package entity

// Report is one VM's part of the answer to an operator's query.
type Report struct {
	VM            string           `json:"vm"`
	Incarnation   string           `json:"incarnation"`
	Domain        string           `json:"domain"`
	Ready         bool             `json:"ready"`
	Leaving       bool             `json:"leaving"`
	TableUp       bool             `json:"tableUp"`
	ConfigVersion int64            `json:"configVersion"`
	Unflushed     int              `json:"unflushed"`
	Held          int              `json:"held"`
	Budgets       []BudgetReport   `json:"budgets"`
	Requests      []RequestReport  `json:"requests"`
	Endpoints     []EndpointReport `json:"endpoints"`
	Peers         []PeerReport     `json:"peers"`
	Refusals      []RefusalReport  `json:"refusals"`
	Quarantined   []string         `json:"quarantined"`
}

// BudgetReport shows one grant, in tokens.
type BudgetReport struct {
	Budget   string `json:"budget"`
	Prepaid  int64  `json:"prepaid"`
	Left     int64  `json:"left"` // not drawn by any VM, when last read
	Drawn    int64  `json:"drawn"`
	Spent    int64  `json:"spent"`
	Reserved int64  `json:"reserved"`
	Free     int64  `json:"free"`
}

// RequestReport shows one open request.
type RequestReport struct {
	Account    string `json:"account"`
	RequestKey string `json:"requestKey"`
	Service    string `json:"service"`
	Rank       string `json:"rank"`
	Phase      string `json:"phase"`
	Endpoint   string `json:"endpoint"`
	AgeMillis  int64  `json:"ageMillis"`
}

// EndpointReport shows one endpoint as this VM sees it.
type EndpointReport struct {
	Endpoint  string `json:"endpoint"`
	Domain    string `json:"domain"`
	InFlight  int    `json:"inFlight"`
	Window    int    `json:"window"`
	Leaving   bool   `json:"leaving"`
	Down      bool   `json:"down"`
	Completed int64  `json:"completed"`
}

// PeerReport shows one other VM.
type PeerReport struct {
	VM            string `json:"vm"`
	Address       string `json:"address"`
	Domain        string `json:"domain"`
	Heard         bool   `json:"heard"`
	Leaving       bool   `json:"leaving"`
	ConfigVersion int64  `json:"configVersion"`
}

// RefusalReport counts refusals of one reason.
type RefusalReport struct {
	Account string `json:"account"`
	Rank    string `json:"rank"`
	Reason  Reason `json:"reason"`
	Count   int64  `json:"count"`
}
