package experiment

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"hawthornspar/core/entity"
)

// Source sends requests of one kind at random times.
type Source struct {
	Label   string // class in the tables
	Account string
	Rate    float64 // requests a second
	From    time.Duration
	Until   time.Duration
	Prompt  int64 // tokens
	Output  int64 // mean tokens of an answer
	Limit   int64 // most tokens asked for
	Target  time.Duration
	Worth   int64
	Nodes   int    // sends to so many of the routers, 0 for all
	Prefix  int    // number of different prompt prefixes, 0 for none
	Service string // "small" when empty
}

// Send schedules all requests of a source.
func (f *Fleet) Send(s Source) {
	at := s.From.Seconds()
	for {
		at += f.Random.ExpFloat64() / s.Rate
		if at >= s.Until.Seconds() {
			return
		}
		f.After(time.Duration(at*float64(time.Second)), func() { f.sendOne(s) })
	}
}

func (f *Fleet) sendOne(s Source) {
	nodes := f.Nodes
	if s.Nodes > 0 {
		nodes = nodes[:s.Nodes]
	}
	node := nodes[f.Random.IntN(len(nodes))]
	f.serial++
	submission := entity.Submission{
		KeyHash: s.Account, Service: s.Service, PromptTokens: s.Prompt, MaxTokens: s.Limit,
		Fingerprint: s.Label + strconv.FormatInt(f.serial, 10),
	}
	if submission.Service == "" {
		submission.Service = "small"
	}
	if s.Prefix > 0 {
		// A few prefixes are popular: the square of a uniform number.
		u := f.Random.Float64()
		submission.Prefix = uint64(u*u*float64(s.Prefix)) + 1
	}
	output := min(max(int64(f.Random.ExpFloat64()*float64(s.Output)), 1), s.Limit)
	result := &Result{Label: s.Label, Target: s.Target, Worth: s.Worth, Cost: s.Prompt/4 + output, Output: output}
	f.Submit(node, submission, Body{Output: output}, result)
}

// Summary is what one class of requests got.
type Summary struct {
	Label    string
	Sent     int
	Answered int
	InTime   int // first token within the target
	Refused  int
	Median   time.Duration // to the first token, of the answered
	P95      time.Duration
	Whole95  time.Duration // to the end of the answer
	Worth    int64         // of those in time
	Tokens   int64         // of the answered
	Reasons  entity.Table[entity.Reason, int]
}

// Summarize groups the results of a class that arrived in a window of time.
func (f *Fleet) Summarize(label string, from, until time.Duration) Summary {
	s := Summary{Label: label}
	var waits, wholes []time.Duration
	for _, r := range f.Results {
		at := r.Arrived.Sub(f.started)
		if r.Label != label || at < from || at >= until {
			continue
		}
		s.Sent++
		if !r.Answered {
			s.Refused++
			n, _ := s.Reasons.Get(r.Reason)
			s.Reasons.Put(r.Reason, n+1)
			continue
		}
		s.Answered++
		s.Tokens += r.Cost
		wait := r.FirstAt.Sub(r.Arrived)
		waits = append(waits, wait)
		wholes = append(wholes, r.DoneAt.Sub(r.Arrived))
		if wait <= r.Target {
			s.InTime++
			s.Worth += r.Worth
		}
	}
	slices.Sort(waits)
	slices.Sort(wholes)
	s.Whole95 = quantile(wholes, 0.95)
	s.Median, s.P95 = quantile(waits, 0.5), quantile(waits, 0.95)
	return s
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(i, 0)]
}

// BestWorth bounds the worth that an all-knowing schedule could serve: the
// requests with the most worth for their slot time first, as long as the work
// due by each target fits the slots until then.
func (f *Fleet) BestWorth(from, until time.Duration, slots int, tokenTime time.Duration) int64 {
	var items []*Result
	for _, r := range f.Results {
		if at := r.Arrived.Sub(f.started); at >= from && at < until {
			items = append(items, r)
		}
	}
	density := func(r *Result) float64 { return float64(r.Worth) / float64(r.Output) }
	slices.SortStableFunc(items, func(a, b *Result) int { return cmp.Compare(density(b), density(a)) })
	var used entity.Table[time.Duration, time.Duration] // by target
	var worth int64
	for _, r := range items {
		work := time.Duration(r.Output) * tokenTime
		if !fits(&used, r.Target, work, func(t time.Duration) time.Duration {
			// Work may end after its target: only its first token is due then.
			return time.Duration(slots) * (until - from + t + time.Duration(rankLimit)*tokenTime)
		}) {
			continue
		}
		n, _ := used.Get(r.Target)
		used.Put(r.Target, n+work)
		worth += r.Worth
	}
	return worth
}

// fits tells whether work due by a target leaves room for all that is due by
// the same and by later targets.
func fits(used *entity.Table[time.Duration, time.Duration], target, work time.Duration, room func(time.Duration) time.Duration) bool {
	targets := append(used.Keys(), target)
	for _, t := range targets {
		if t < target {
			continue
		}
		total := work
		for _, other := range used.Keys() {
			if n, _ := used.Get(other); other <= t {
				total += n
			}
		}
		if total > room(t) {
			return false
		}
	}
	return true
}

// Utilization returns the share of the engines' slot time in use.
func (f *Fleet) Utilization(since time.Duration, busyBefore time.Duration) float64 {
	var busy, room time.Duration
	for _, e := range f.Engines {
		busy += e.Busy
		for _, t := range e.running {
			busy += f.Now.Sub(t.begun)
		}
		room += time.Duration(e.Slots) * (f.Elapsed() - since)
	}
	return float64(busy-busyBefore) / float64(room)
}

// BusyTime returns the slot time used so far.
func (f *Fleet) BusyTime() time.Duration {
	var busy time.Duration
	for _, e := range f.Engines {
		busy += e.Busy
		for _, t := range e.running {
			busy += f.Now.Sub(t.begun)
		}
	}
	return busy
}

// mainReason returns the most frequent reason of refusals and its count.
func (s Summary) mainReason() string {
	most, count := entity.Reason("-"), 0
	for _, reason := range s.Reasons.Keys() {
		if n, _ := s.Reasons.Get(reason); n > count {
			most, count = reason, n
		}
	}
	return string(most) + " " + strconv.Itoa(count)
}
