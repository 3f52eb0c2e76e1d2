package operator

import (
	"fmt"
	"net/netip"
	"strings"

	"hawthornspar/core/entity"
	"hawthornspar/io/wire"
)

// ChangeError reports an invalid field of a change.
type ChangeError struct {
	Field   string
	Problem string
}

// Error implements error.
func (e *ChangeError) Error() string { return fmt.Sprintf("%s %s", e.Field, e.Problem) }

// Check returns a *ChangeError for the first invalid field of a change, or nil.
func Check(request *wire.ChangeRequest, item entity.Item) error {
	if request.Operation == "" {
		return &ChangeError{"operation", "is missing: it makes the command take effect once"}
	}
	switch it := item.(type) {
	case nil:
		return &ChangeError{"change", "names no item"}
	case entity.TopUp:
		return checkTopUp(it, request.Change.Remove)
	case entity.EndpointSpec:
		return checkEndpoint(it, request.Change.Remove)
	case entity.Service:
		return checkService(it)
	case entity.Rank:
		return checkRank(it)
	case entity.Account:
		return checkName("account.name", it.Name)
	case entity.APIKey:
		return checkKey(it)
	}
	return nil
}

// checkName checks that a name can be part of a key, whose parts are separated by
// slashes.
func checkName(field, name string) error {
	if name == "" || strings.ContainsAny(name, "/ \x00") {
		return &ChangeError{field, "must be a word without slash or space"}
	}
	return nil
}

func checkTopUp(t entity.TopUp, remove bool) error {
	if remove {
		return &ChangeError{"topUp", "cannot be removed"}
	}
	account, name, ok := strings.Cut(t.Budget, "/")
	if !ok || checkName("", account) != nil || checkName("", name) != nil {
		return &ChangeError{"topUp.budget", "must be ACCOUNT/NAME"}
	}
	if t.Tokens <= 0 {
		return &ChangeError{"topUp.tokens", "must be positive"}
	}
	return nil
}

func checkEndpoint(e entity.EndpointSpec, remove bool) error {
	if err := checkName("endpoint.name", e.Name); err != nil || remove {
		return err
	}
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		return &ChangeError{"endpoint.address", "must be an IP number and a port; names are not looked up"}
	}
	if len(e.Services) == 0 {
		return &ChangeError{"endpoint.services", "must name at least one service"}
	}
	if e.Slots <= 0 {
		return &ChangeError{"endpoint.slots", "must be positive"}
	}
	return nil
}

func checkService(s entity.Service) error {
	if err := checkName("service.name", s.Name); err != nil {
		return err
	}
	if s.Kind != entity.KindModel && s.Kind != entity.KindApp {
		return &ChangeError{"service.kind", "must be model or app"}
	}
	if s.Kind == entity.KindModel && !s.Idempotent {
		return &ChangeError{"service.repeatable", "must be true for a model"}
	}
	if s.Price < 0 || s.MaxTokens < 0 {
		return &ChangeError{"service", "must not have negative tokens"}
	}
	return nil
}

func checkRank(r entity.Rank) error {
	if err := checkName("rank.name", r.Name); err != nil {
		return err
	}
	if r.TargetMillis <= 0 {
		return &ChangeError{"rank.targetMillis", "must be positive"}
	}
	if r.FloorPercent < 0 || r.FloorPercent > 50 {
		return &ChangeError{"rank.floorPercent", "must be from 0 to 50"}
	}
	return nil
}

// checkKey checks the key of a caller or, if it names an operator, of an
// operator.
func checkKey(k entity.APIKey) error {
	if len(k.Hash) != 64 {
		return &ChangeError{"apiKey.hash", "must be a SHA-256 in hexadecimal"}
	}
	if k.Operator == "" && (k.Account == "" || k.Budget == "" || k.Rank == "") {
		return &ChangeError{"apiKey", "must name account, budget and rank, or an operator"}
	}
	return nil
}
