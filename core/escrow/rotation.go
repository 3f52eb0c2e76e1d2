package escrow

// Rotation chooses which of several lenders gets the next loan request for an
// account. A borrower stays with a lender that lends all it wants, so that most
// VMs need few connections, and goes on to the next one otherwise, so that the
// needs of a crowded VM are shared by all lenders. The zero value starts with the
// first lender.
type Rotation struct{ next int }

// Next returns the index of the lender to ask, of count lenders.
func (r *Rotation) Next(count int) int { return r.next % max(count, 1) }

// Record records a response of the lender that Next returned.
func (r *Rotation) Record(lent, want int64) {
	if lent < want {
		r.next++
	}
}
