package entity

// Service kinds.
const (
	KindModel = "model"
	KindApp   = "app"
)

// APIKey maps the hash of a caller's secret to what it may use.
type APIKey struct {
	Hash    string
	Account string
	Budget  string
	Rank    string
	// Operator is the name of an operator, empty for a caller's key.
	Operator string
}

// Account is a client account.
type Account struct {
	Name  string
	Share int64 // weight in fair queueing, at least 1
}

// Service is a model or an app service that callers may name.
type Service struct {
	Name       string
	Kind       string
	Repeatable bool
	Price      int64 // tokens for one call of an app service
	MaxTokens  int64 // longest answer of a model
}

// Rank is a class of urgency.
type Rank struct {
	Name         string
	Order        int // 0 is the most urgent
	TargetMillis int64
	Worth        int64
	FloorPercent int // share of capacity that a flood of other ranks leaves
}

// EndpointSpec is the configured part of an endpoint.
type EndpointSpec struct {
	Name     string
	Address  string
	Domain   string
	Services []string
	Slots    int // requests that the endpoint runs at a time
	Leaving  bool
}

// Serves tells whether the endpoint runs the service.
func (e EndpointSpec) Serves(service string) bool {
	for _, s := range e.Services {
		if s == service {
			return true
		}
	}
	return false
}

// Quarantine bars requests of one fingerprint until an operator releases it.
type Quarantine struct {
	Fingerprint string
	Released    bool
}

// TopUp adds tokens to a prepaid budget.
type TopUp struct {
	Budget string
	Tokens int64
}

// Item is what a configuration change puts or removes.
type Item interface {
	// ItemName identifies the item among all kinds.
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

// Change is one accepted configuration change. Versions have no gaps.
type Change struct {
	Version    int64
	Operation  string // operator's idempotency key
	Operator   string
	UnixMillis int64
	Remove     bool
	Item       Item
}

// Config is the configuration in force. It only moves forward.
type Config struct {
	Version   int64
	Keys      Table[string, APIKey]
	Accounts  Table[string, Account]
	Services  Table[string, Service]
	Ranks     Table[string, Rank]
	Endpoints Table[string, EndpointSpec]
	Barred    Table[string, Quarantine]
	Modified  Table[string, int64] // item name to the version that last changed it
}

// Apply puts the next change in force. It ignores any other version and
// returns whether the change was applied.
func (c *Config) Apply(change Change) bool {
	if change.Version != c.Version+1 {
		return false
	}
	c.Version = change.Version
	if change.Item == nil {
		return true
	}
	c.Modified.Put(change.Item.ItemName(), change.Version)
	switch it := change.Item.(type) {
	case APIKey:
		apply(&c.Keys, it.Hash, it, change.Remove)
	case Account:
		apply(&c.Accounts, it.Name, it, change.Remove)
	case Service:
		apply(&c.Services, it.Name, it, change.Remove)
	case Rank:
		apply(&c.Ranks, it.Name, it, change.Remove)
	case EndpointSpec:
		apply(&c.Endpoints, it.Name, it, change.Remove)
	case Quarantine:
		apply(&c.Barred, it.Fingerprint, it, change.Remove || it.Released)
	}
	return true
}

func apply[V any](t *Table[string, V], key string, row V, remove bool) {
	if remove {
		t.Delete(key)
		return
	}
	t.Put(key, row)
}

// Items returns every item in force, by kind.
func (c *Config) Items() []Item {
	var items []Item
	items = appendItems(items, &c.Ranks)
	items = appendItems(items, &c.Services)
	items = appendItems(items, &c.Endpoints)
	items = appendItems(items, &c.Accounts)
	items = appendItems(items, &c.Keys)
	return appendItems(items, &c.Barred)
}

func appendItems[V Item](items []Item, t *Table[string, V]) []Item {
	for _, row := range t.Rows() {
		items = append(items, row)
	}
	return items
}
