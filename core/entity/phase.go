package entity

// String returns the name of the phase as operators see it in reports.
func (p Phase) String() string {
	names := []string{"funding", "queued", "claiming", "running", "settling", "watching", "forwarded", "suspect", "over"}
	if p < 0 || int(p) >= len(names) {
		return "unknown"
	}
	return names[p]
}
