package experiment

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"hawthornspar/core/entity"
)

// Source generates requests of one class as a Poisson process. Lengths of
// responses are exponentially distributed, up to MaxTokens.
type Source struct {
	Label            string // class of requests, for summaries
	Account          string
	RequestRate      float64       // requests per second
	From             time.Duration // after the call of AddSource
	Until            time.Duration // after the call of AddSource
	PromptTokens     int64
	MeanOutputTokens int64
	MaxTokens        int64         // limit of a response
	FirstTokenTarget time.Duration // target time to first token
	Worth            int64         // value of meeting the target, as in entity.Rank
	EntryVMs         int           // requests arrive at this many of the VMs, 0 for all
	Prefixes         int           // number of distinct prompt prefixes, 0 for none
	Service          string        // defaults to "small"
}

// AddSource schedules all requests of a source.
func (f *Fleet) AddSource(s Source) {
	at := s.From.Seconds()
	for {
		at += f.Random.ExpFloat64() / s.RequestRate
		if at >= s.Until.Seconds() {
			return
		}
		f.After(time.Duration(at*float64(time.Second)), func() { f.sendRequest(s) })
	}
}

// sendRequest submits one request of a source to a random VM.
func (f *Fleet) sendRequest(s Source) {
	vms := f.VMs
	if s.EntryVMs > 0 {
		vms = vms[:s.EntryVMs]
	}
	vm := vms[f.Random.IntN(len(vms))]
	f.sequence++
	submission := entity.Submission{
		KeyHash: s.Account, Service: s.Service, PromptTokens: s.PromptTokens, MaxTokens: s.MaxTokens,
		Fingerprint: s.Label + strconv.FormatInt(f.sequence, 10),
	}
	if submission.Service == "" {
		submission.Service = "small"
	}
	if s.Prefixes > 0 {
		// Squaring a uniform number makes a few prefixes popular.
		u := f.Random.Float64()
		submission.Prefix = uint64(u*u*float64(s.Prefixes)) + 1
	}
	output := min(max(int64(f.Random.ExpFloat64()*float64(s.MeanOutputTokens)), 1), s.MaxTokens)
	result := &Result{Label: s.Label, FirstTokenTarget: s.FirstTokenTarget, Worth: s.Worth, WorkTokens: s.PromptTokens/4 + output, OutputTokens: output}
	f.Submit(vm, submission, Body{OutputTokens: output}, result)
}

// Summary summarizes the results of one class of requests.
type Summary struct {
	Label             string
	Sent              int
	Completed         int
	WithinTarget      int           // first token within its target
	Refused           int           // without a complete response
	FirstTokenMedian  time.Duration // time to first token, median of the completed requests
	FirstTokenP95     time.Duration // time to first token, 95th percentile
	ResponseP95       time.Duration // time to complete response, 95th percentile
	WorthWithinTarget int64         // summed worth of the requests within target
	WorkTokens        int64         // tokens that the engines billed for the completed requests
	RefusalReasons    entity.Table[entity.Reason, int]
}

// Summarize summarizes the requests of a class that arrived in a window of
// virtual time.
func (f *Fleet) Summarize(label string, from, until time.Duration) Summary {
	s := Summary{Label: label}
	var firstTokens, responses []time.Duration
	for _, r := range f.Results {
		at := r.ArrivedAt.Sub(f.startTime)
		if r.Label != label || at < from || at >= until {
			continue
		}
		s.Sent++
		if !r.Completed {
			s.Refused++
			n, _ := s.RefusalReasons.Get(r.RefusalReason)
			s.RefusalReasons.Put(r.RefusalReason, n+1)
			continue
		}
		s.Completed++
		s.WorkTokens += r.WorkTokens
		firstToken := r.FirstTokenAt.Sub(r.ArrivedAt)
		firstTokens = append(firstTokens, firstToken)
		responses = append(responses, r.DoneAt.Sub(r.ArrivedAt))
		if firstToken <= r.FirstTokenTarget {
			s.WithinTarget++
			s.WorthWithinTarget += r.Worth
		}
	}
	slices.Sort(firstTokens)
	slices.Sort(responses)
	s.ResponseP95 = quantile(responses, 0.95)
	s.FirstTokenMedian, s.FirstTokenP95 = quantile(firstTokens, 0.5), quantile(firstTokens, 0.95)
	return s
}

// quantile returns the nearest-rank quantile of sorted values, 0 if there are
// none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(i, 0)]
}

// MaxWorth bounds the worth that a scheduler which knew all requests in advance
// could serve. It admits requests in order of worth per slot time, as long as
// the work due by each target fits the slots' time until then.
func (f *Fleet) MaxWorth(from, until time.Duration, slots int, timePerToken time.Duration) int64 {
	var requests []*Result
	for _, r := range f.Results {
		if at := r.ArrivedAt.Sub(f.startTime); at >= from && at < until {
			requests = append(requests, r)
		}
	}
	density := func(r *Result) float64 { return float64(r.Worth) / float64(r.OutputTokens) }
	slices.SortStableFunc(requests, func(a, b *Result) int { return cmp.Compare(density(b), density(a)) })
	var used entity.Table[time.Duration, time.Duration] // slot time admitted, by target
	var worth int64
	for _, r := range requests {
		work := time.Duration(r.OutputTokens) * timePerToken
		if !fits(&used, r.FirstTokenTarget, work, func(t time.Duration) time.Duration {
			// Only the first token is due by the target: the rest of the
			// response may follow later.
			return time.Duration(slots) * (until - from + t + time.Duration(maxTokens)*timePerToken)
		}) {
			continue
		}
		admitted, _ := used.Get(r.FirstTokenTarget)
		used.Put(r.FirstTokenTarget, admitted+work)
		worth += r.Worth
	}
	return worth
}

// fits reports whether work due by a target can be added to the admitted work,
// so that for this and each later target the work due by then stays within the
// capacity until then.
func fits(used *entity.Table[time.Duration, time.Duration], target, work time.Duration, capacity func(time.Duration) time.Duration) bool {
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
		if total > capacity(t) {
			return false
		}
	}
	return true
}

// Utilization returns the share of the engines' slot time that was used since an
// elapsed time, at which BusyTime returned busyBefore.
func (f *Fleet) Utilization(since time.Duration, busyBefore time.Duration) float64 {
	var busy, available time.Duration
	for _, e := range f.Engines {
		busy += e.BusyTime
		for _, a := range e.running {
			busy += f.Now.Sub(a.startedAt)
		}
		available += time.Duration(e.Slots) * (f.Elapsed() - since)
	}
	return float64(busy-busyBefore) / float64(available)
}

// BusyTime returns the slot time that the engines have used so far.
func (f *Fleet) BusyTime() time.Duration {
	var busy time.Duration
	for _, e := range f.Engines {
		busy += e.BusyTime
		for _, a := range e.running {
			busy += f.Now.Sub(a.startedAt)
		}
	}
	return busy
}

// mainReason returns the most frequent refusal reason and its count.
func (s Summary) mainReason() string {
	most, count := entity.Reason("-"), 0
	for _, reason := range s.RefusalReasons.Keys() {
		if n, _ := s.RefusalReasons.Get(reason); n > count {
			most, count = reason, n
		}
	}
	return string(most) + " " + strconv.Itoa(count)
}
