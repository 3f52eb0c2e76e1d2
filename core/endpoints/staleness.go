package endpoints

import "time"

const (
	// askAfter is how long nobody may have confirmed what a VM knows before it asks another
	// VM. The store confirms it about once a second.
	askAfter = 1500 * time.Millisecond
	// noticeMargin is how long before endpoints stop serving, after they have announced
	// that they leave, a VM stops sending by a registry that nobody has confirmed since.
	noticeMargin = 500 * time.Millisecond
	// minUnconfirmedTime is the least time for which a VM sends by what nobody has confirmed:
	// one lost response of the store takes about as long. It is below the shortest notice of
	// the users' sites, two seconds, by the time until a request reaches its endpoint.
	minUnconfirmedTime = 1800 * time.Millisecond
)

// Source is what a VM knows of a source of the registry: the store, or the other VMs.
type Source struct {
	respondedAt time.Time // when the last request that it responded to was sent
	failedAt    time.Time // when the last request without a response was sent
	absent      bool      // there is none to ask
}

// Record records whether the source responded to a request that was sent at the given time.
func (s *Source) Record(sent time.Time, responded bool) {
	s.absent = false
	if responded {
		s.respondedAt = later(s.respondedAt, sent)
		return
	}
	s.failedAt = later(s.failedAt, sent)
}

// RecordAbsent records that there is nobody to ask.
func (s *Source) RecordAbsent() { s.absent = true }

// outOfReach reports whether the last request failed, and was sent within a time. A VM that
// was suspended must ask again before it knows.
func (s Source) outOfReach(within time.Duration, now time.Time) bool {
	return s.failedAt.After(s.respondedAt) && now.Sub(s.failedAt) < within
}

// Knowledge is how recently a VM's knowledge of the endpoints was confirmed, and which of its
// sources are in reach.
type Knowledge struct {
	Registry    Freshness
	Evacuations Freshness // also of the configuration, which is read with them
	Store, VMs  Source
}

// age returns the time since both the registry and the evacuations were confirmed.
func (k Knowledge) age(now time.Time) time.Duration {
	return max(k.Registry.Age(now), k.Evacuations.Age(now))
}

// NeedsAnswer reports whether the VM is to ask another VM for what that knows.
func (k Knowledge) NeedsAnswer(now time.Time) bool { return k.age(now) >= askAfter }

// Stale reports whether the VM may send nothing by what it knows. notice is how long endpoints
// go on serving after they have announced that they leave; 0 if that is unknown. The VM may
// send if no source responds, as then nobody knows more, and if there is no other VM to ask.
func (k Knowledge) Stale(notice time.Duration, now time.Time) bool {
	limit := max(notice-noticeMargin, minUnconfirmedTime)
	if notice == 0 || k.VMs.absent || k.age(now) < limit {
		return false
	}
	return !k.Store.outOfReach(limit, now) || !k.VMs.outOfReach(limit, now)
}
