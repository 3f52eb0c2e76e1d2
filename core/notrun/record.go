package notrun

import "slices"

// Record holds the attempts of one request that may have run. The zero value has none.
type Record struct{ possible []int }

// Begin records that an attempt may run from now on. It has to be called before the first
// byte is sent.
func (r *Record) Begin(attempt int) { r.possible = append(r.possible, attempt) }

// Withdraw takes an attempt back that a proof shows not to have run. Without a proof it
// does nothing.
func (r *Record) Withdraw(attempt int, p Proof) {
	if p.Holds() {
		r.possible = slices.DeleteFunc(r.possible, func(a int) bool { return a == attempt })
	}
}

// PossibleRuns returns the number of attempts that may have run.
func (r *Record) PossibleRuns() int { return len(r.possible) }

// Statement returns what can be said of the request.
func (r *Record) Statement() Statement { return Statement{notRun: len(r.possible) == 0} }

// Statement says whether a request has not run and never will. The zero value does not say
// so; only a Record returns one that does.
type Statement struct{ notRun bool }

// NotRun reports whether it is certain that no endpoint has run the request.
func (s Statement) NotRun() bool { return s.notRun }
