package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"hawthornspar/core"
	"hawthornspar/core/entity"
	"hawthornspar/core/world"
)

// Discipline is how waiting work is ordered.
type Discipline string

// Disciplines that are compared.
const (
	Floors Discipline = "floors" // urgent first, lower ranks keep a floor
	Strict Discipline = "strict" // urgent first, nothing else
	FIFO   Discipline = "fifo"   // first in, first out
)

// User is one of the two users' sets of ranks.
type User struct {
	Name  string
	Ranks []entity.Rank
}

// Users returns the ranks of both users. The workshop weighs urgent service
// most; the co-operative keeps more for its summaries.
func Users() []User {
	return []User{
		{"workshop", []entity.Rank{
			{Name: "urgent", Order: 0, TargetMillis: 1_800, Worth: 20},
			{Name: "normal", Order: 1, TargetMillis: 30_000, Worth: 4, FloorPercent: 10},
			{Name: "bulk", Order: 2, TargetMillis: 60_000, Worth: 1, FloorPercent: 5},
		}},
		{"cooperative", []entity.Rank{
			{Name: "urgent", Order: 0, TargetMillis: 1_800, Worth: 10},
			{Name: "normal", Order: 1, TargetMillis: 30_000, Worth: 5, FloorPercent: 20},
			{Name: "bulk", Order: 2, TargetMillis: 60_000, Worth: 1, FloorPercent: 5},
		}},
	}
}

// Flood is a pattern of demand. Loads are shares of the fleet's capacity.
type Flood struct {
	Name         string
	Bulk, Urgent float64 // during the flood
	HalfEngines  bool    // half of the endpoints die when it begins
}

// Floods returns the patterns that are compared.
func Floods() []Flood {
	return []Flood{
		{Name: "bulk 5x", Bulk: 5, Urgent: 0.3},
		{Name: "urgent 5x", Bulk: 0.3, Urgent: 5},
		{Name: "both 5x", Bulk: 5, Urgent: 5},
		{Name: "bulk 5x, half dead", Bulk: 5, Urgent: 0.3, HalfEngines: true},
	}
}

// Shape of the fleet in this experiment.
const (
	rankEngines   = 10
	rankSlots     = 8
	rankRouters   = 8
	rankTokenTime = 20 * time.Millisecond
	rankPrompt    = 80
	rankOutput    = 50
	rankLimit     = 150
	floodFrom     = 20 * time.Second
	floodUntil    = 80 * time.Second
)

// fullRate is how many requests a second fill every slot.
var fullRate = float64(rankEngines*rankSlots) / (rankOutput * rankTokenTime.Seconds())

// oneRank sets up a single rank and the model that all requests name.
func (f *Fleet) oneRank() {
	f.Table.Change(entity.Rank{Name: "normal", Order: 1, TargetMillis: 30_000})
	f.Table.Change(entity.Service{Name: "small", Kind: entity.KindModel, Idempotent: true, MaxTokens: 1000})
}

// addEngines adds the experiments' engines, all like one.
func (f *Fleet) addEngines(like Engine) {
	for i := range rankEngines {
		e := like
		e.Name = fmt.Sprintf("e%02d", i)
		f.AddEngine(&e, "small")
	}
}

// RankRun is one run's outcome.
type RankRun struct {
	User       string
	Flood      string
	Discipline Discipline
	Ranks      []Summary
	WorthShare float64 // of what an all-knowing schedule could serve
	Used       float64 // share of the endpoints' slot time during the flood
}

// RunRanks plays one flood against one discipline.
func RunRanks(seed uint64, user User, flood Flood, discipline Discipline, options ...core.Option) RankRun {
	f := New(seed, rankRouters, world.DefaultPolicy(), options...)
	for _, r := range user.Ranks {
		if discipline != Floors {
			r.FloorPercent = 0
		}
		if discipline == FIFO {
			r.Order = 0
		}
		f.Table.Change(r)
	}
	f.Table.Change(entity.Service{Name: "small", Kind: entity.KindModel, Idempotent: true, MaxTokens: 1000})
	f.addEngines(Engine{
		Slots: rankSlots, QueueSize: 2, TokenTime: rankTokenTime,
		Prefill: 100 * time.Millisecond, CacheSize: 8, Restart: 10 * time.Second,
	})
	loads := []struct{ steady, flood float64 }{{0.25, flood.Urgent}, {0.3, 0.3}, {0.2, flood.Bulk}}
	for i, r := range user.Ranks {
		account := r.Name
		if discipline == FIFO {
			account = "all"
		}
		f.Table.Account(account, r.Name, 1_000_000_000)
		s := Source{
			Label: r.Name, Account: account, Prompt: rankPrompt, Output: rankOutput, Limit: rankLimit,
			Target: time.Duration(r.TargetMillis) * time.Millisecond, Worth: r.Worth,
		}
		s.Rate, s.From, s.Until = fullRate*loads[i].steady, 3*time.Second, floodFrom
		f.Send(s)
		s.Rate, s.From, s.Until = fullRate*loads[i].flood, floodFrom, floodUntil
		f.Send(s)
	}
	f.Run(floodFrom)
	if flood.HalfEngines {
		for _, e := range f.Engines[:rankEngines/2] {
			e.SetDown(true)
		}
	}
	// The share in use is taken while work waits: the second half of the flood.
	f.Run((floodUntil - floodFrom) / 2)
	middle, busy := f.Elapsed(), f.BusyTime()
	f.Run((floodUntil - floodFrom) / 2)
	run := RankRun{User: user.Name, Flood: flood.Name, Discipline: discipline}
	run.Used = f.Utilization(middle, busy)
	slots := rankEngines * rankSlots
	if flood.HalfEngines {
		slots /= 2
		run.Used *= 2
	}
	f.Run(90 * time.Second)
	for _, r := range user.Ranks {
		s := f.Summarize(r.Name, floodFrom, floodUntil)
		run.Ranks = append(run.Ranks, s)
		run.WorthShare += float64(s.Worth)
	}
	run.WorthShare /= float64(max(f.BestWorth(floodFrom, floodUntil, slots, rankTokenTime), 1))
	return run
}

// PrintRanks plays all floods and prints a table.
func PrintRanks(out io.Writer, seed uint64) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "user\tflood\tdiscipline\trank\tsent\tanswered\tin time\tmedian\tp95\tshare of capacity\tworth served\tslots in use\tmain reason")
	for _, u := range Users() {
		for _, fl := range Floods() {
			for _, d := range []Discipline{Floors, Strict, FIFO} {
				printRankRun(t, RunRanks(seed, u, fl, d))
			}
		}
	}
	t.Flush()
}

func printRankRun(t io.Writer, r RankRun) {
	var all int64
	for _, s := range r.Ranks {
		all += s.Tokens
	}
	for _, s := range r.Ranks {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%.1f%%\t%s\t%s\t%.0f%%\t%.0f%%\t%.0f%%\t%s\n",
			r.User, r.Flood, r.Discipline, s.Label, s.Sent, s.Answered, percent(s.InTime, s.Sent),
			s.Median.Round(time.Millisecond), s.P95.Round(time.Millisecond),
			100*float64(s.Tokens)/float64(max(all, 1)), 100*r.WorthShare, 100*r.Used, s.mainReason())
	}
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }
