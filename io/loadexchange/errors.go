package loadexchange

import "net/http"

// MessageError reports a message that is malformed.
type MessageError struct{ Problem string }

// Error implements error.
func (e *MessageError) Error() string { return "malformed message: " + e.Problem }

// StatusError reports that another VM responded with an error status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "VM responded " + http.StatusText(e.Status) }

// ClosedTransportError reports that the transport to other VMs is not open.
type ClosedTransportError struct{}

// Error implements error.
func (*ClosedTransportError) Error() string { return "the transport to other VMs is not open" }
