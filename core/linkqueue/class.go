package linkqueue

import (
	"math/bits"
	"slices"
	"time"
)

// Request is a request as the queue sees it.
type Request struct {
	Rank     int // 0 is the most urgent
	Bytes    int // that are sent over the link
	Deadline time.Time
}

// Entry is a request that waits.
type Entry struct {
	Request
	Arrived time.Time
	class   *class
}

// class holds the waiting requests of one rank and of similar size, in the order of
// their arrival.
type class struct {
	rank     int
	size     int // bits of the number of bytes
	entries  []*Entry
	admitted flow // of requests that were sent or wait
}

// before reports whether requests of class c are served before those of class d.
func (c *class) before(d *class) bool { return c.compare(d.rank, d.size) < 0 }

// compare orders classes by rank, then by size.
func (c *class) compare(rank, size int) int {
	if c.rank != rank {
		return c.rank - rank
	}
	return c.size - size
}

// remove removes an entry, and reports whether the class had it.
func (c *class) remove(e *Entry) bool {
	i := slices.Index(c.entries, e)
	if i < 0 {
		return false
	}
	c.entries = slices.Delete(c.entries, i, i+1)
	return true
}

// bytes returns the bytes of the waiting requests.
func (c *class) bytes() int {
	n := 0
	for _, e := range c.entries {
		n += e.Bytes
	}
	return n
}

// classOf returns the class of a request, and adds it if it is new.
func (q *Queue) classOf(r Request) *class {
	size := bits.Len(uint(r.Bytes))
	for i, c := range q.classes {
		order := c.compare(r.Rank, size)
		if order == 0 {
			return c
		}
		if order > 0 {
			return q.insertClass(i, r.Rank, size)
		}
	}
	return q.insertClass(len(q.classes), r.Rank, size)
}

func (q *Queue) insertClass(i, rank, size int) *class {
	c := &class{rank: rank, size: size}
	q.classes = slices.Insert(q.classes, i, c)
	return c
}

// next returns the request whose turn is next. At least one must wait.
func (q *Queue) next() *Entry {
	if q.oldestIsNext() {
		return q.oldest()
	}
	return q.first()
}

// oldestIsNext reports whether the next turn is that of the oldest request. At least one
// must wait.
func (q *Queue) oldestIsNext() bool { return q.ordered >= (turnsPerOldest-1)*q.oldest().Bytes }

// first returns the first request by rank, size and arrival.
func (q *Queue) first() *Entry {
	for _, c := range q.classes {
		if len(c.entries) > 0 {
			return c.entries[0]
		}
	}
	return nil
}

// oldest returns the request that has waited longest.
func (q *Queue) oldest() *Entry {
	var oldest *Entry
	for _, c := range q.classes {
		if len(c.entries) > 0 && (oldest == nil || c.entries[0].Arrived.Before(oldest.Arrived)) {
			oldest = c.entries[0]
		}
	}
	return oldest
}
