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

// Discipline is a queueing discipline.
type Discipline string

// Queueing disciplines that are compared.
const (
	Floors Discipline = "floors" // by rank, but each rank gets at least its floor
	Strict Discipline = "strict" // by rank only
	FIFO   Discipline = "fifo"   // by arrival: one account, and ranks without order
)

// RankSet is a set of ranks as one organization configures it.
type RankSet struct {
	Name  string
	Ranks []entity.Rank
}

// RankSets returns the sets that are compared. The workshop assigns a higher worth
// to urgent requests, the cooperative a higher floor to normal ones.
func RankSets() []RankSet {
	return []RankSet{
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

// Flood is a pattern of overload. Loads are multiples of saturationRate.
type Flood struct {
	Name                 string
	BulkLoad, UrgentLoad float64 // during the flood
	HalfEnginesDown      bool    // half of the engines go down when the flood begins
}

// Floods returns the patterns of overload that are compared.
func Floods() []Flood {
	return []Flood{
		{Name: "bulk 5x", BulkLoad: 5, UrgentLoad: 0.3},
		{Name: "urgent 5x", BulkLoad: 0.3, UrgentLoad: 5},
		{Name: "both 5x", BulkLoad: 5, UrgentLoad: 5},
		{Name: "bulk 5x, half dead", BulkLoad: 5, UrgentLoad: 0.3, HalfEnginesDown: true},
	}
}

// Fleet, requests and flood of the experiments on ranks, fairness, crashes and
// affinity. The experiment on grants uses the same requests. Times are virtual.
const (
	engineCount        = 10
	engineSlots        = 8
	vmCount            = 8
	engineTimePerToken = 20 * time.Millisecond
	promptTokens       = 80
	meanOutputTokens   = 50
	maxTokens          = 150
	floodStart         = 20 * time.Second
	floodEnd           = 80 * time.Second
)

// saturationRate is the number of requests per second that keep all slots busy.
var saturationRate = float64(engineCount*engineSlots) / (meanOutputTokens * engineTimePerToken.Seconds())

// configureSingleRank configures a single rank and the service that all sources
// use by default.
func (f *Fleet) configureSingleRank() {
	f.Table.Configure(entity.Rank{Name: "normal", Order: 1, TargetMillis: 30_000})
	f.Table.Configure(entity.Service{Name: "small", Kind: entity.KindModel, Idempotent: true, MaxTokens: 1000})
}

// addEngines adds engineCount copies of an engine.
func (f *Fleet) addEngines(template Engine) {
	for i := range engineCount {
		e := template
		e.Name = fmt.Sprintf("e%02d", i)
		f.AddEngine(&e, "small")
	}
}

// RankResult is the outcome of one flood with one queueing discipline.
type RankResult struct {
	RankSet         string // name of the set
	Flood           string // name of the flood
	Discipline      Discipline
	Summaries       []Summary // by rank
	WorthShare      float64   // worth within target, as a share of MaxWorth
	SlotUtilization float64   // share of the slot time of engines that are up, in the second half of the flood
}

// RunRanks simulates one flood with one queueing discipline.
func RunRanks(seed uint64, set RankSet, flood Flood, discipline Discipline, options ...core.Option) RankResult {
	f := New(seed, vmCount, world.DefaultPolicy(), options...)
	for _, r := range set.Ranks {
		if discipline != Floors {
			r.FloorPercent = 0
		}
		if discipline == FIFO {
			r.Order = 0
		}
		f.Table.Configure(r)
	}
	f.Table.Configure(entity.Service{Name: "small", Kind: entity.KindModel, Idempotent: true, MaxTokens: 1000})
	f.addEngines(Engine{
		Slots: engineSlots, QueueSize: 2, TimePerToken: engineTimePerToken,
		PrefillTime: 100 * time.Millisecond, CacheSize: 8, RestartTime: 10 * time.Second,
	})
	// Loads of the ranks urgent, normal and bulk, in the order of set.Ranks.
	loads := []struct{ steady, flood float64 }{{0.25, flood.UrgentLoad}, {0.3, 0.3}, {0.2, flood.BulkLoad}}
	for i, r := range set.Ranks {
		account := r.Name
		if discipline == FIFO {
			account = "all"
		}
		f.Table.AddAccount(account, r.Name, 1_000_000_000)
		s := Source{
			Label: r.Name, Account: account, PromptTokens: promptTokens, MeanOutputTokens: meanOutputTokens, MaxTokens: maxTokens,
			FirstTokenTarget: time.Duration(r.TargetMillis) * time.Millisecond, Worth: r.Worth,
		}
		s.RequestRate, s.From, s.Until = saturationRate*loads[i].steady, 3*time.Second, floodStart
		f.AddSource(s)
		s.RequestRate, s.From, s.Until = saturationRate*loads[i].flood, floodStart, floodEnd
		f.AddSource(s)
	}
	f.Run(floodStart)
	if flood.HalfEnginesDown {
		for _, e := range f.Engines[:engineCount/2] {
			e.SetDown(true)
		}
	}
	// Utilization is measured in the second half of the flood, when requests
	// are sure to wait.
	f.Run((floodEnd - floodStart) / 2)
	middle, busyBefore := f.Elapsed(), f.BusyTime()
	f.Run((floodEnd - floodStart) / 2)
	result := RankResult{RankSet: set.Name, Flood: flood.Name, Discipline: discipline}
	result.SlotUtilization = f.Utilization(middle, busyBefore)
	slots := engineCount * engineSlots
	if flood.HalfEnginesDown {
		slots /= 2
		// Utilization counts the slots of engines that are down as available.
		result.SlotUtilization *= 2
	}
	f.Run(90 * time.Second)
	for _, r := range set.Ranks {
		s := f.Summarize(r.Name, floodStart, floodEnd)
		result.Summaries = append(result.Summaries, s)
		result.WorthShare += float64(s.WorthWithinTarget)
	}
	result.WorthShare /= float64(max(f.MaxWorth(floodStart, floodEnd, slots, engineTimePerToken), 1))
	return result
}

// PrintRanks prints a table of all floods with all sets of ranks and disciplines.
func PrintRanks(out io.Writer, seed uint64) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "user\tflood\tdiscipline\trank\tsent\tanswered\tin time\tmedian\tp95\tshare of capacity\tworth served\tslots in use\tmain reason")
	for _, rs := range RankSets() {
		for _, fl := range Floods() {
			for _, d := range []Discipline{Floors, Strict, FIFO} {
				printRankResult(t, RunRanks(seed, rs, fl, d))
			}
		}
	}
	t.Flush()
}

// printRankResult prints a row for each rank.
func printRankResult(t io.Writer, r RankResult) {
	var total int64
	for _, s := range r.Summaries {
		total += s.WorkTokens
	}
	for _, s := range r.Summaries {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%.1f%%\t%s\t%s\t%.0f%%\t%.0f%%\t%.0f%%\t%s\n",
			r.RankSet, r.Flood, r.Discipline, s.Label, s.Sent, s.Completed, percent(s.WithinTarget, s.Sent),
			s.FirstTokenMedian.Round(time.Millisecond), s.FirstTokenP95.Round(time.Millisecond),
			100*float64(s.WorkTokens)/float64(max(total, 1)), 100*r.WorthShare, 100*r.SlotUtilization, s.mainReason())
	}
}

// percent returns part as a percentage of whole.
func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }
