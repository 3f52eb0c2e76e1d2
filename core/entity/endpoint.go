package entity

import "time"

// Endpoint is the state that this VM keeps of one endpoint. Window is a limit on
// concurrent requests that grows with complete responses and shrinks with
// failures, as a TCP congestion window does.
type Endpoint struct {
	Spec                EndpointSpec
	InFlight            int       // requests that this VM has running there
	Window              float64   // limit on InFlight
	SlowStartThreshold  float64   // below it, Window grows exponentially
	BackoffUntil        time.Time // gets no new requests before this time
	ConsecutiveFailures int       // since the last complete response
	Completed           int64     // complete responses
	SuspectsInFlight    int       // suspect requests that this VM has running there
}
