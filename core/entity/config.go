package entity

// Service kinds.
const (
	KindModel = "model"
	KindApp   = "app"
)

// APIKey grants the holder of a secret the use of an account, a budget and a
// rank, or the rights of an operator.
type APIKey struct {
	Hash    string // hash of the secret
	Account string
	Budget  string
	Rank    string
	// Operator is the operator's name; it is empty in a client's key.
	Operator string
}

// Account is a client account and its weight in scheduling.
type Account struct {
	Name  string
	Share int64 // weight in fair queueing, at least 1
}

// Service is a model or an app service that clients may request.
type Service struct {
	Name       string
	Kind       string
	Idempotent bool  // a failed attempt may be retried
	Price      int64 // tokens for one request to an app service
	MaxTokens  int64 // limit on the output tokens of a model, 0 for none
}

// Rank is a priority class of requests.
type Rank struct {
	Name         string
	Order        int   // 0 is the most urgent
	TargetMillis int64 // target time to the first byte of the response
	Worth        int64 // value of a request served in time
	FloorPercent int   // share of capacity guaranteed under load from other ranks
}

// EndpointSpec is the configuration of an endpoint.
type EndpointSpec struct {
	Name     string
	Address  string
	Domain   string // failure domain
	Services []string
	Slots    int  // requests that the endpoint runs concurrently
	Draining bool // gets no new requests
}

// Serves reports whether the endpoint runs the service.
func (e EndpointSpec) Serves(service string) bool {
	for _, s := range e.Services {
		if s == service {
			return true
		}
	}
	return false
}

// Quarantine blocks all requests with one fingerprint until an operator
// releases it.
type Quarantine struct {
	Fingerprint string
	Released    bool
}

// TopUp adds tokens to a prepaid budget.
type TopUp struct {
	Budget string
	Tokens int64
}

// Item is a configuration entry that a change puts or removes.
type Item interface {
	// ItemName returns a name that is unique among items of all types.
	ItemName() string
}

// ItemName implements Item.
func (k APIKey) ItemName() string { return "apiKey/" + k.Hash }

// ItemName implements Item.
func (a Account) ItemName() string { return "account/" + a.Name }

// ItemName implements Item.
func (s Service) ItemName() string { return "service/" + s.Name }

// ItemName implements Item.
func (r Rank) ItemName() string { return "rank/" + r.Name }

// ItemName implements Item.
func (e EndpointSpec) ItemName() string { return "endpoint/" + e.Name }

// ItemName implements Item.
func (q Quarantine) ItemName() string { return "quarantine/" + q.Fingerprint }

// ItemName implements Item.
func (t TopUp) ItemName() string { return "topUp/" + t.Budget }

// Change is one accepted configuration change. Versions are consecutive.
type Change struct {
	Version    int64
	Operation  string // the operator's idempotency key
	Operator   string
	UnixMillis int64 // time of the change
	Remove     bool
	Item       Item
}

// Config is the current configuration. Its version never decreases.
type Config struct {
	Version          int64
	Keys             Table[string, APIKey]
	Accounts         Table[string, Account]
	Services         Table[string, Service]
	Ranks            Table[string, Rank]
	Endpoints        Table[string, EndpointSpec]
	Quarantined      Table[string, Quarantine]
	ModifiedVersions Table[string, int64] // version of the last change, by item name
}

// Apply applies a change whose version directly follows the current one and
// ignores any other. It reports whether the change was applied.
func (c *Config) Apply(change Change) bool {
	if change.Version != c.Version+1 {
		return false
	}
	c.Version = change.Version
	if change.Item == nil {
		return true
	}
	c.ModifiedVersions.Put(change.Item.ItemName(), change.Version)
	switch item := change.Item.(type) {
	case APIKey:
		putOrDelete(&c.Keys, item.Hash, item, change.Remove)
	case Account:
		putOrDelete(&c.Accounts, item.Name, item, change.Remove)
	case Service:
		putOrDelete(&c.Services, item.Name, item, change.Remove)
	case Rank:
		putOrDelete(&c.Ranks, item.Name, item, change.Remove)
	case EndpointSpec:
		putOrDelete(&c.Endpoints, item.Name, item, change.Remove)
	case Quarantine:
		putOrDelete(&c.Quarantined, item.Fingerprint, item, change.Remove || item.Released)
	}
	return true
}

func putOrDelete[V any](t *Table[string, V], key string, row V, remove bool) {
	if remove {
		t.Delete(key)
		return
	}
	t.Put(key, row)
}

// Items returns all items of the current configuration, grouped by type.
func (c *Config) Items() []Item {
	var items []Item
	items = appendItems(items, &c.Ranks)
	items = appendItems(items, &c.Services)
	items = appendItems(items, &c.Endpoints)
	items = appendItems(items, &c.Accounts)
	items = appendItems(items, &c.Keys)
	return appendItems(items, &c.Quarantined)
}

func appendItems[V Item](items []Item, t *Table[string, V]) []Item {
	for _, row := range t.Rows() {
		items = append(items, row)
	}
	return items
}
