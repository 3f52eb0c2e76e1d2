package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"hawthornspar/core/escrow"
	"hawthornspar/core/home"
)

// Registration of this VM, and reads of the list of VMs.
const (
	// registerPeriod is the time between registrations of a VM, several of
	// which fit into the time after which it no longer counts as alive.
	registerPeriod = 5 * time.Second
	// memberReadPeriodPerVM is the time between reads of the list of VMs for
	// each VM there is, and minMemberReadPeriod the shortest.
	memberReadPeriodPerVM = 60 * time.Millisecond
	minMemberReadPeriod   = 2 * time.Second
	// firstStartPause is how long a VM that was never registered waits for the
	// others that start with it before it takes a share of the budgets.
	firstStartPause = time.Second
	// registrationSpread is the time over which VMs that start at once spread
	// their first registrations, as a multiple of the time in which the store
	// can apply all of them.
	registrationSpread = 1.5
	// maxHomesWait bounds how long a VM is not ready because it cannot learn
	// which VMs are home VMs, or its budgets may not be drawn yet.
	maxHomesWait = 3 * time.Second
	// sourceStore names the store as the source of the list of VMs.
	sourceStore = "store"
)

// memberSyncer registers this VM and keeps the list of VMs up to date.
type memberSyncer struct {
	gateway        *Gateway
	store          dependency
	lastRegistered time.Time
	storeMs        int64     // the store's clock as last read
	readAt         time.Time // when the store's clock was read
}

func (m *memberSyncer) loop(ctx context.Context) {
	m.store.name = "VMs"
	known := false
	for ctx.Err() == nil {
		pause, err := m.step(ctx, known)
		m.store.record(m.gateway, err)
		if err != nil {
			sleep(ctx, jitter(failurePause))
			continue
		}
		known = true
		sleep(ctx, pause)
	}
}

// step reads the list of VMs and registers this VM when that is due. It returns
// the pause until the next step. known is false until a step has succeeded.
func (m *memberSyncer) step(ctx context.Context, known bool) (time.Duration, error) {
	vms, storeMs, err := m.gateway.store.VMs(ctx)
	if err != nil {
		return 0, err
	}
	m.storeMs, m.readAt = storeMs, time.Now()
	vms = m.gateway.state.restoreMembers(vms, m.readAt)
	m.gateway.updateMembers(home.Alive(vms), sourceStore)
	lost := m.gateway.state.steppedBackSince(m.lastRegistered)
	if lost {
		sleep(ctx, m.spread(len(vms)))
		m.gateway.restoreAuthority(ctx)
	}
	if lost || time.Since(m.lastRegistered) >= registerPeriod {
		if m.lastRegistered.IsZero() {
			sleep(ctx, m.spread(len(vms)))
		}
		if err := m.register(ctx); err != nil {
			return 0, err
		}
	}
	if !known && !includesVM(vms, m.gateway.settings.Name) {
		return firstStartPause, nil
	}
	return max(minMemberReadPeriod, jitter(time.Duration(len(vms))*memberReadPeriodPerVM)), nil
}

// spread returns a random delay of this VM's first registration, as the other VMs
// may start at the same time.
func (m *memberSyncer) spread(vms int) time.Duration {
	writesPerSecond := m.gateway.reloaded.Load().StoreWritesPerSecond
	seconds := registrationSpread * float64(vms) / max(writesPerSecond, 1)
	return time.Duration(rand.Float64() * seconds * float64(time.Second))
}

// register writes this VM's registration to the store.
func (m *memberSyncer) register(ctx context.Context) error {
	s := m.gateway.settings
	start := time.Now()
	own := home.VM{
		Name: s.Name, Incarnation: s.Incarnation, Address: s.PeerListen,
		StoreMs: m.storeMs + time.Since(m.readAt).Milliseconds(), Rate: m.gateway.state.ownRequestRate(),
		Domain: s.FailureDomain, LinkBytesPerSecond: int64(s.LinkBytesPerSecond),
	}
	if err := m.gateway.store.Register(ctx, own); err != nil {
		return err
	}
	m.lastRegistered = start
	return nil
}

// includesVM reports whether a list of VMs has one of the given name.
func includesVM(vms []home.VM, name string) bool {
	return slices.ContainsFunc(vms, func(v home.VM) bool { return v.Name == name })
}

// updateMembers applies a list of the VMs that are alive, which determines the
// home VMs of each group.
func (g *Gateway) updateMembers(vms []home.VM, from string) {
	if len(vms) == 0 {
		return
	}
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(vms) != s.vmCount {
		g.log.Info("VMs counted", "vms", len(vms), "before", s.vmCount, "from", from)
	}
	s.members, s.vmCount = vms, len(vms)
	s.vm.Members = vms
	s.endpoints.SetVM(s.vm)
	s.otherRates = home.SumOtherRates(vms, g.settings.Name)
	s.homesKnown = s.homesKnown || from != sourceStore || includesVM(vms, g.settings.Name)
	for _, gr := range s.groups {
		g.assignHomes(gr, home.HomesOf(gr.number, vms))
	}
}

// assignHomes sets the home VMs of a group. The caller holds the state's lock.
func (g *Gateway) assignHomes(gr *group, homes []home.VM) {
	others := slices.DeleteFunc(slices.Clone(homes), func(v home.VM) bool { return v.Name == g.settings.Name })
	isHome := len(others) < len(homes)
	if isHome != gr.budgets.IsHome() {
		g.log.Info("home of budgets", "group", gr.number, "home", isHome, "homes", len(homes))
	}
	gr.budgets.SetHomes(len(homes), isHome)
	gr.budgets.SetMembers(membersOf(g.state.members, homes))
	gr.homes = home.OrderFor(g.settings.Name, others)
	if !isHome && len(gr.homes) > 0 {
		g.borrower.preconnect(gr.homes[0])
	}
	gr.wake()
}

// membersOf returns the VMs as the budgets of a group with the given home VMs need them.
func membersOf(vms, homes []home.VM) []escrow.Member {
	var members []escrow.Member
	for _, v := range vms {
		members = append(members, escrow.Member{Name: v.Name, Incarnation: v.Incarnation, Home: includesVM(homes, v.Name)})
	}
	return members
}

// membersKnown reports whether the list of VMs is known.
func (s *state) membersKnown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.members) > 0
}

// knowsHomes reports whether this VM knows the home VMs: another VM sent the
// list of VMs, or the store's list has this VM in it.
func (s *state) knowsHomes() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.homesKnown
}
