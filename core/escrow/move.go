package escrow

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornspar/core/revision"
)

// Limits of moves of tokens from the rows of other VMs.
const (
	// MaxMoves bounds the rows from which one transaction moves
	// tokens. With MaxTotals changes of totals and the VM's own row, a
	// transaction stays within the 100 entries that the store accepts.
	MaxMoves = 4
	// staleRowAge is the time since the last write of a row after which all its
	// movable tokens may be moved. A home VM in use writes its row every few
	// hundred milliseconds.
	staleRowAge = 3 * time.Second
	// recentRowDivisor divides the movable tokens of a row that was written
	// recently: the VM that wrote it probably needs some of them.
	recentRowDivisor = 2
	// moveAheadTime is the time at the token rate whose spending is moved beyond
	// the need of waiting requests.
	moveAheadTime = 2 * time.Second
)

// Move lowers the granted tokens in the row of another VM. They are added to the
// tokens granted to the VM whose transaction it is. Only tokens that the other VM
// may not commit before it writes its row again are moved, and that write fails
// on the row's version.
type Move struct {
	VM            string
	Version       revision.Version // required of the row
	VMAllocations VMAllocations    // new content of the row
	Tokens        map[string]int64 // tokens moved, by account
}

// movable returns the tokens that the VM may not commit before it writes its row
// again.
func (a Allocation) movable() int64 {
	if a.OfflineLimit <= 0 {
		return 0
	}
	return max(a.Granted-a.Committed-a.OfflineLimit, 0)
}

// movableTokens is the number of an account's tokens that may be moved from a row.
type movableTokens struct {
	vm     string
	tokens int64
	stale  bool // the row has not been written for staleRowAge
}

// movableFrom returns the tokens of an account that may be moved, by row: first
// those of stale rows, then the larger numbers.
func (b *Budgets) movableFrom(name string, now time.Time) []movableTokens {
	var list []movableTokens
	for vm, row := range b.rows {
		m := movableTokens{vm: vm, tokens: row.VMAllocations.Accounts[name].movable()}
		m.stale = b.clock.lowerBound(now)-row.VMAllocations.StoreMs >= staleRowAge.Milliseconds()
		if !b.movableNow(row.VMAllocations, m.stale) {
			continue
		}
		if !m.stale {
			m.tokens /= recentRowDivisor
		}
		if m.tokens > 0 {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(x, y movableTokens) int {
		if x.stale != y.stale {
			if x.stale {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(y.tokens, x.tokens), cmp.Compare(x.vm, y.vm))
	})
	return list
}

// chooseMoves returns the tokens to move for the waiting requests of an account
// that has the given number of free tokens. Each move makes the next write of the
// row's VM fail, so tokens are moved from recent rows alone only when at least one
// request then has enough. chosen are the transaction's moves so far.
func (b *Budgets) chooseMoves(name string, a *account, free int64, chosen []Move, now time.Time) []movableTokens {
	short := a.waiting - free
	if short <= 0 || !b.isHome || b.closing {
		return nil
	}
	ahead := int64(a.tokenRate * moveAheadTime.Seconds())
	moves := takeMovable(b.movableFrom(name, now), short+ahead, chosen)
	total, anyStale := int64(0), false
	for _, m := range moves {
		total += m.tokens
		anyStale = anyStale || m.stale
	}
	if !anyStale && total < a.smallestWaiting()-free {
		return nil
	}
	return moves
}

// takeMovable takes the wanted number of tokens from the first rows of a list: all
// movable tokens of stale rows, and only what is still missing from recent ones.
// With the rows of the moves in chosen, they are at most MaxMoves.
func takeMovable(list []movableTokens, want int64, chosen []Move) []movableTokens {
	var taken []movableTokens
	rows := len(chosen)
	for _, m := range list {
		if want <= 0 {
			break
		}
		if !slices.ContainsFunc(chosen, func(c Move) bool { return c.VM == m.vm }) {
			if rows == MaxMoves {
				continue
			}
			rows++
		}
		if !m.stale {
			m.tokens = min(m.tokens, want)
		}
		taken = append(taken, m)
		want -= m.tokens
	}
	return taken
}

// planMoves adds the moves of an account's tokens to a transaction and returns
// the number of tokens. free is the number of the account's free tokens after the
// transaction's grant.
func (b *Budgets) planMoves(t *Transaction, name string, a *account, free int64, now time.Time) int64 {
	if b.deferredMoves > 0 {
		return 0
	}
	moved := int64(0)
	for _, m := range b.chooseMoves(name, a, free, t.Moves, now) {
		t.moveFrom(m.vm, b.rows[m.vm]).add(name, m.tokens)
		moved += m.tokens
	}
	return moved
}

// moveFrom returns the transaction's move from a VM's row and adds it when it is
// missing.
func (t *Transaction) moveFrom(vm string, row VersionedAllocations) *Move {
	for i := range t.Moves {
		if t.Moves[i].VM == vm {
			return &t.Moves[i]
		}
	}
	content := row.VMAllocations
	content.Accounts = maps.Clone(content.Accounts)
	t.Moves = append(t.Moves, Move{VM: vm, Version: row.Version, VMAllocations: content, Tokens: map[string]int64{}})
	return &t.Moves[len(t.Moves)-1]
}

// add moves tokens of an account.
func (m *Move) add(name string, tokens int64) {
	allocation := m.VMAllocations.Accounts[name]
	allocation.Granted -= tokens
	m.VMAllocations.Accounts[name] = allocation
	m.Tokens[name] += tokens
}

// applyMoves adds the moved tokens of a transaction that was applied.
func (b *Budgets) applyMoves(t *Transaction) {
	for _, m := range t.Moves {
		for name, tokens := range m.Tokens {
			a := b.accounts[name]
			a.granted += tokens
			a.otherVMs.free = max(a.otherVMs.free-tokens, 0)
		}
		b.moveConflicts = 0
	}
}

// recordRow records the row of another VM unless a newer one is known.
func (b *Budgets) recordRow(vm string, row VersionedAllocations) {
	if vm != b.vm && !b.rows[vm].Version.NewerThan(row.Version) {
		b.rows[vm] = row
	}
}

// deferMoves makes the next transactions leave the rows of other VMs alone when
// moves have failed more than once in a row, so that the VM's own row is written.
// The first conflict is expected, as the rows were read up to some seconds ago.
// The number of transactions doubles in the mean with each further conflict.
func (b *Budgets) deferMoves(t *Transaction, c Snapshot) {
	changed := slices.ContainsFunc(t.Moves, func(m Move) bool { return c.Allocations[m.VM].Version != m.Version })
	if !changed {
		return
	}
	b.moveConflicts++
	if b.moveConflicts > 1 {
		limit := 1 << min(b.moveConflicts-1, maxConflictDoublings)
		b.deferredMoves = 1 + int(xxhash.Sum64String(b.vm+"/"+strconv.FormatInt(b.sequence, 10))%uint64(limit))
	}
}

// adoptMoves lowers the granted tokens by those that other VMs have moved from
// this VM's row since its last known content, and records the row.
func (b *Budgets) adoptMoves(own VersionedAllocations) {
	for name, allocation := range b.written.Accounts {
		moved := allocation.Granted - own.VMAllocations.Accounts[name].Granted
		if moved > 0 {
			b.accounts[name].granted -= moved
			b.dirty = true
		}
	}
	b.written = own.VMAllocations
	b.ownVersion = own.Version
}

// Obtainable reports whether a write to the store may make enough tokens for a
// request available: those granted to the VM, undrawn ones, and, for a home VM,
// those that it may move from other VMs' rows.
func (b *Budgets) Obtainable(name string, tokens int64, now time.Time) bool {
	a := b.accounts[name]
	if a == nil {
		return false
	}
	return tokens <= max(a.granted-a.committed(), 0)+max(b.undrawn(a), 0)+b.movableTotal(name, now)
}

// movableTotal returns the tokens of an account that one transaction may move.
func (b *Budgets) movableTotal(name string, now time.Time) int64 {
	if !b.isHome || b.closing {
		return 0
	}
	total := int64(0)
	for _, m := range takeMovable(b.movableFrom(name, now), math.MaxInt64, nil) {
		total += m.tokens
	}
	return total
}
