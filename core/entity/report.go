package entity

// Report is one VM's part of the response to an operator's query.
type Report struct {
	VM             string           `json:"vm"`
	Incarnation    string           `json:"incarnation"`
	Domain         string           `json:"domain"`
	Ready          bool             `json:"ready"`
	ShuttingDown   bool             `json:"leaving"`
	TableReachable bool             `json:"tableUp"` // the table service responded to the last call
	ConfigVersion  int64            `json:"configVersion"`
	Unflushed      int              `json:"unflushed"` // charges that are not yet in the ledger
	ChargeCopies   int              `json:"held"`      // copies of charges stored for other VMs
	Budgets        []BudgetReport   `json:"budgets"`
	Requests       []RequestReport  `json:"requests"`
	Endpoints      []EndpointReport `json:"endpoints"`
	Peers          []PeerReport     `json:"peers"`
	Refusals       []RefusalReport  `json:"refusals"`
	Quarantined    []string         `json:"quarantined"`
}

// BudgetReport describes one budget and this VM's grant of it, in tokens.
type BudgetReport struct {
	Budget    string `json:"budget"`
	Prepaid   int64  `json:"prepaid"`
	Remaining int64  `json:"left"` // drawn by no VM when last read
	Drawn     int64  `json:"drawn"`
	Spent     int64  `json:"spent"`
	Reserved  int64  `json:"reserved"`
	Free      int64  `json:"free"`
}

// RequestReport describes one open request.
type RequestReport struct {
	Account    string `json:"account"`
	RequestKey string `json:"requestKey"`
	Service    string `json:"service"`
	Rank       string `json:"rank"`
	Phase      string `json:"phase"`
	Endpoint   string `json:"endpoint"`
	AgeMillis  int64  `json:"ageMillis"`
}

// EndpointReport describes one endpoint as seen by this VM.
type EndpointReport struct {
	Endpoint  string `json:"endpoint"`
	Domain    string `json:"domain"`
	InFlight  int    `json:"inFlight"`
	Window    int    `json:"window"`
	Draining  bool   `json:"leaving"` // gets no new requests
	Down      bool   `json:"down"`
	Completed int64  `json:"completed"`
}

// PeerReport describes another VM as seen by this VM.
type PeerReport struct {
	VM            string `json:"vm"`
	Address       string `json:"address"`
	Domain        string `json:"domain"`
	Alive         bool   `json:"heard"` // a message from it arrived recently
	ShuttingDown  bool   `json:"leaving"`
	ConfigVersion int64  `json:"configVersion"`
}

// RefusalReport counts the refusals of one account, rank and reason.
type RefusalReport struct {
	Account string `json:"account"`
	Rank    string `json:"rank"`
	Reason  Reason `json:"reason"`
	Count   int64  `json:"count"`
}
