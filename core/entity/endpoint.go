package entity

import "time"

// Endpoint is this VM's view of one endpoint.
type Endpoint struct {
	Spec      EndpointSpec
	InFlight  int
	Window    float64 // requests this VM sends at a time
	Steady    float64 // window up to which it grows fast
	DownUntil time.Time
	Failures  int // in a row
	Completed int64
	Suspects  int // suspects that this VM runs there
}
