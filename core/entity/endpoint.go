package entity

import "time"

// Endpoint is this VM's view of one endpoint.
type Endpoint struct {
	Spec      EndpointSpec
	InFlight  int
	Window    float64 // requests this VM sends at a time
	FirstByte time.Duration
	DownUntil time.Time
	Failures  int // in a row
	Completed int64
	Suspects  int // suspects that this VM runs there
}
