// Package revision orders what the store says. A store that has come back from an older
// copy of itself gives the numbers of the lost versions out again, so a version belongs to
// an era, and only versions of the same era can be compared by their numbers.
package revision

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// Era counts the times that the store has come back from an older copy of itself. It only
// rises. The zero value stands for a store that states no era, and for what was said before one
// was stated; a stated one is StatedEra.
type Era int64

// StatedEra returns the era of a store that states a number, from 0 on.
func StatedEra(number int64) Era { return Era(number + 1) }

// String implements fmt.Stringer: the number that the store states.
func (e Era) String() string {
	if e == 0 {
		return "none"
	}
	return strconv.FormatInt(int64(e)-1, 10)
}

// Version is a version of the store's content. The zero value is none.
type Version struct {
	Era    Era
	Number int64
}

// IsZero reports whether there is no version.
func (v Version) IsZero() bool { return v == Version{} }

// NewerThan reports whether v supersedes other: it is of a later era, whatever its number,
// or has a higher number in the same era.
func (v Version) NewerThan(other Version) bool {
	if v.Era != other.Era {
		return v.Era > other.Era
	}
	return v.Number > other.Number
}

// String implements fmt.Stringer. Versions of a store that states no era are plain numbers.
func (v Version) String() string {
	if v.Era == 0 {
		return strconv.FormatInt(v.Number, 10)
	}
	return v.Era.String() + "/" + strconv.FormatInt(v.Number, 10)
}

// encodedVersion is a version of a store that states its era.
type encodedVersion struct {
	Era    Era   `json:"era"`
	Number int64 `json:"number"`
}

// MarshalJSON implements json.Marshaler. Versions of a store that states no era are numbers, as
// VMs of earlier versions of the program exchange them.
func (v Version) MarshalJSON() ([]byte, error) {
	if v.Era == 0 {
		return json.Marshal(v.Number)
	}
	return json.Marshal(encodedVersion(v))
}

// UnmarshalJSON implements json.Unmarshaler. It returns an error of encoding/json if raw is
// neither form.
func (v *Version) UnmarshalJSON(raw []byte) error {
	var number int64
	if json.Unmarshal(raw, &number) == nil {
		*v = Version{Number: number}
		return nil
	}
	var e encodedVersion
	err := json.Unmarshal(raw, &e)
	*v = Version(e)
	return err
}

// Continues returns nil if a response of the given era continues what was read at v, or a
// StepBackError if the store has come back from a copy in between: the changes since v
// cannot be told from those of another history.
func (v Version) Continues(response Era) error {
	if v.Era == response {
		return nil
	}
	return &StepBackError{From: v.Era, To: response}
}

// StepBackError reports that two responses that belong together are of different eras.
type StepBackError struct{ From, To Era }

// Error implements error.
func (e *StepBackError) Error() string {
	return fmt.Sprintf("the store has gone from era %s to era %s", e.From, e.To)
}

// OutdatedError reports a response of an era that is over, which was late on its way or
// passed through something that drops the era. What it says may be lost.
type OutdatedError struct{ Response, Known Era }

// Error implements error.
func (e *OutdatedError) Error() string {
	return fmt.Sprintf("response of era %s in era %s", e.Response, e.Known)
}

// Tracker holds the latest era that the store has stated. The zero value knows none. It is
// not safe for concurrent use.
type Tracker struct {
	era   Era
	known bool
}

// Era returns the latest era.
func (t *Tracker) Era() Era { return t.era }

// Observe records the era of a response. It returns true if the store has come back from a
// copy since the last response, and an OutdatedError if the response is older than that.
// The first response states where the store is, and is no step back.
func (t *Tracker) Observe(e Era) (steppedBack bool, err error) {
	switch {
	case !t.known:
		t.era, t.known = e, true
	case e < t.era:
		return false, &OutdatedError{Response: e, Known: t.era}
	case e > t.era:
		t.era, steppedBack = e, true
	}
	return steppedBack, nil
}
