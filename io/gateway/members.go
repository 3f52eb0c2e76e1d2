package gateway

import (
	"context"
	"slices"
	"time"

	"hawthornspar/core/home"
)

// Pace of registration.
const (
	// registerPeriod is the time between registrations of a VM, several of
	// which fit into the time after which it counts as gone.
	registerPeriod = 5 * time.Second
	// membersPeriod is the time between reads of the list of VMs for each VM
	// there is, and membersLeast the shortest.
	membersPeriod = 60 * time.Millisecond
	membersLeast  = 2 * time.Second
	// firstStart is how long a VM that was never registered waits for the others
	// that start with it before it takes a share of the budgets.
	firstStart = time.Second
	// settleMost bounds how long a VM that cannot learn who holds the budgets is
	// not ready for that.
	settleMost = 3 * time.Second
	// fromStore is the source of the list of VMs in logs.
	fromStore = "store"
)

// memberFollower registers this VM and follows the list of VMs.
type memberFollower struct {
	gateway    *Gateway
	store      dependency
	registered time.Time
	storeMs    int64     // the store's clock as last read
	readAt     time.Time // when it was read
}

func (f *memberFollower) loop(ctx context.Context) {
	f.store.name = "VMs"
	known := false
	for ctx.Err() == nil {
		pause, err := f.step(ctx, known)
		f.store.note(f.gateway, err)
		if err != nil {
			sleep(ctx, jitter(failPause))
			continue
		}
		known = true
		sleep(ctx, pause)
	}
}

// step reads the list of VMs and registers when that is due.
func (f *memberFollower) step(ctx context.Context, known bool) (time.Duration, error) {
	vms, storeMs, err := f.gateway.store.VMs(ctx)
	if err != nil {
		return 0, err
	}
	f.storeMs, f.readAt = storeMs, time.Now()
	f.gateway.join(home.Living(vms), fromStore)
	if time.Since(f.registered) >= registerPeriod {
		if err := f.register(ctx); err != nil {
			return 0, err
		}
	}
	if !known && !includes(vms, f.gateway.settings.Name) {
		return firstStart, nil
	}
	return max(membersLeast, jitter(time.Duration(len(vms))*membersPeriod)), nil
}

func (f *memberFollower) register(ctx context.Context) error {
	s := f.gateway.settings
	begun := time.Now()
	own := home.VM{
		Name: s.Name, Incarnation: s.Incarnation, Address: s.Peer,
		StoreMs: f.storeMs + time.Since(f.readAt).Milliseconds(), Rate: f.gateway.state.ownRate(),
	}
	if err := f.gateway.store.Register(ctx, own); err != nil {
		return err
	}
	f.registered = begun
	return nil
}

// includes tells whether a VM of a name is in a list.
func includes(vms []home.VM, name string) bool {
	return slices.ContainsFunc(vms, func(v home.VM) bool { return v.Name == name })
}

// join takes the list of running VMs, which decides who holds which budgets.
func (g *Gateway) join(vms []home.VM, from string) {
	if len(vms) == 0 {
		return
	}
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(vms) != s.vms {
		g.log.Info("VMs counted", "vms", len(vms), "before", s.vms, "from", from)
	}
	s.members, s.vms = vms, len(vms)
	s.otherRates = home.Rates(vms, g.settings.Name)
	s.joined = s.joined || from != fromStore || includes(vms, g.settings.Name)
	for _, r := range s.groups {
		g.assign(r, home.Of(r.number, vms))
	}
}

// assign takes the homes of a group. The caller holds the lock.
func (g *Gateway) assign(r *group, homes []home.VM) {
	others := slices.DeleteFunc(slices.Clone(homes), func(v home.VM) bool { return v.Name == g.settings.Name })
	own := len(others) < len(homes)
	if own != r.book.Home() {
		g.log.Info("home of budgets", "group", r.number, "home", own, "homes", len(homes))
	}
	r.book.SetHomes(len(homes), own)
	r.homes = home.OrderFor(g.settings.Name, others)
	if !own && len(r.homes) > 0 {
		g.borrower.greet(r.homes[0])
	}
	r.wake()
}

// knowsMembers tells whether the list of VMs is known.
func (s *state) knowsMembers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.members) > 0
}

// settled tells whether this VM knows who holds the budgets: another VM told
// it, or the list of VMs has this one in it.
func (s *state) settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joined
}
