// Package notrun holds the proof that an attempt of a request has not run at an endpoint,
// and the record of a request's attempts. A request that may run only once is sent again,
// and its client is told that it has not run, only with what this package hands out. What
// has no proof may have run: no status and no constant is a proof by itself.
package notrun

import (
	"errors"
	"net/http"
)

// Fact names what proves that an attempt has not run.
type Fact string

// Facts.
const (
	Unwritten   Fact = "unwritten"   // no byte of the attempt was written
	Rejected    Fact = "rejected"    // the endpoint itself says so, of this attempt
	Misdirected Fact = "misdirected" // another endpoint has the address, and says so
	Unclaimed   Fact = "unclaimed"   // the claim that another request held is gone, so it was never sent
	Foreign     Fact = "foreign"     // the claim belongs to a request with other content
)

// Proof proves that an attempt has not run and never will. The zero value proves nothing;
// only the functions of this package return another.
type Proof struct{ fact Fact }

// Fact returns what the proof rests on; empty if it proves nothing.
func (p Proof) Fact() Fact { return p.fact }

// Holds reports whether the proof proves anything.
func (p Proof) Holds() bool { return p.fact != "" }

// unwritten is an error of an attempt after which it is known whether any byte was written.
type unwritten interface {
	error
	NothingWritten() bool
}

// UnwrittenError reports that an attempt ended before it had a connection.
type UnwrittenError struct{}

// Error implements error.
func (*UnwrittenError) Error() string { return "nothing was written" }

// NothingWritten reports that no byte was written.
func (*UnwrittenError) NothingWritten() bool { return true }

// FromError returns the proof that lies in the error of an attempt.
func FromError(err error) Proof {
	var e unwritten
	if errors.As(err, &e) && e.NothingWritten() {
		return Proof{Unwritten}
	}
	return Proof{}
}

// Attempt is what identifies an attempt in a response to it.
type Attempt struct {
	RequestID  string // as it was sent to the endpoint
	EndpointID string // of the endpoint that it was meant for
}

// Response is what the final head of a response says of a request. What an interim response
// or a trailer says does not count.
type Response struct {
	Status     int
	RequestID  string // of the request that it answers; empty if it names none
	EndpointID string // of the endpoint that answers; empty if it names none
	NotRun     bool   // it says that the request has not run
	Sealed     bool   // it says that the request has run
}

// FromResponse returns the proof that lies in the response to an attempt. A seal or a
// success says that the request has run, whatever else stands beside it. A rejection has to
// name the request; without an id it may be of another one.
func FromResponse(a Attempt, r Response) Proof {
	switch {
	case r.Sealed || r.Status < http.StatusMultipleChoices:
		return Proof{}
	case r.Status == http.StatusMisdirectedRequest && isOther(a, r) && (r.RequestID == "" || r.RequestID == a.RequestID):
		return Proof{Misdirected}
	case r.NotRun && r.RequestID != "" && r.RequestID == a.RequestID:
		return Proof{Rejected}
	}
	return Proof{}
}

// isOther reports whether a response comes from another endpoint than the attempt was meant
// for, as it says.
func isOther(a Attempt, r Response) bool {
	return a.EndpointID != "" && r.EndpointID != "" && r.EndpointID != a.EndpointID
}

// FromClaim returns the proof that lies in the version of the claim that another request
// held: version 0 is that of a row which its holder has withdrawn.
func FromClaim(version int64) Proof {
	if version == 0 {
		return Proof{Unclaimed}
	}
	return Proof{}
}

// FromFingerprints returns the proof that lies in the fingerprints of a request and of the
// one that holds the claim: if they differ, it was the other one that ran.
func FromFingerprints(own, holder string) Proof {
	if own != holder {
		return Proof{Foreign}
	}
	return Proof{}
}
