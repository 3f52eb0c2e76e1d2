package gateway

import (
	"sync"
	"time"

	"hawthornspar/core/escrow"
	"hawthornspar/io/metrics"
)

// figuresPeriod is the time between reports of the figures of a group's accounts.
const figuresPeriod = 10 * time.Second

// budgetFigures holds the figures of the accounts whose groups this VM reports.
type budgetFigures struct {
	mu      sync.Mutex
	byGroup map[int]groupFigures
}

// groupFigures are the figures of a group's accounts at one moment.
type groupFigures struct {
	at       time.Time
	accounts map[string]escrow.Figures
}

// reportFigures logs the figures of the group's accounts that have changed since
// the last report, and records them for the metrics. Of the home VMs only the
// first one by name reports.
func (b *budgetSyncer) reportFigures(now time.Time) {
	s, reports := b.gateway.state, &b.gateway.figures
	s.mu.Lock()
	isReporter := b.group.isReporter(b.gateway.settings.Name)
	reports.mu.Lock()
	defer reports.mu.Unlock()
	last := reports.byGroup[b.group.number]
	if !isReporter || now.Sub(last.at) < figuresPeriod {
		s.mu.Unlock()
		if !isReporter {
			delete(reports.byGroup, b.group.number)
		}
		return
	}
	accounts := b.group.budgets.Figures(now)
	s.mu.Unlock()
	if reports.byGroup == nil {
		reports.byGroup = map[int]groupFigures{}
	}
	reports.byGroup[b.group.number] = groupFigures{at: now, accounts: accounts}
	for account, f := range accounts {
		if f != last.accounts[account] {
			b.gateway.log.Info("budget figures", "account", account, "undrawn", f.Undrawn, "free", f.Free, "movable", f.Movable, "stranded", f.Stranded)
		}
	}
}

// isReporter reports whether the VM of the given name reports the figures of the
// group's accounts. The caller holds the state's lock.
func (gr *group) isReporter(name string) bool {
	for _, v := range gr.homes {
		if v.Name < name {
			return false
		}
	}
	return gr.isActiveHome()
}

// samples returns the figures for the metrics.
func (f *budgetFigures) samples() []metrics.Sample {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []metrics.Sample
	for _, g := range f.byGroup {
		for account, a := range g.accounts {
			for kind, tokens := range map[string]int64{"undrawn": a.Undrawn, "free": a.Free, "movable": a.Movable, "stranded": a.Stranded} {
				list = append(list, metrics.Sample{Value: tokens, Labels: map[string]string{"account": account, "kind": kind}})
			}
		}
	}
	return list
}
