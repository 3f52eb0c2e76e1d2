package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/joho/godotenv"
	"github.com/pkg/errors"
)

// Gateway holds the settings of "hawthornspard gateway". They are read from a
// file of NAME=value lines; the flag tag of a field is its NAME. Fields tagged
// reload take effect in a running process, the others after a restart.
type Gateway struct {
	Name                 string        `validate:"required,max=64" flag:"HAWTHORNSPAR_NAME"`
	FailureDomain        string        `validate:"required,max=64" flag:"HAWTHORNSPAR_FAILURE_DOMAIN"`
	Listen               string        `validate:"required,ipport" flag:"HAWTHORNSPAR_LISTEN"`
	ReadyListen          string        `validate:"required,ipport" flag:"HAWTHORNSPAR_READY_LISTEN"`
	PeerListen           string        `validate:"omitempty,ipport" flag:"HAWTHORNSPAR_PEER_LISTEN"`
	ControlListen        string        `validate:"omitempty,ipport" flag:"HAWTHORNSPAR_CONTROL_LISTEN"`
	Seeds                []string      `validate:"dive,ipport" flag:"HAWTHORNSPAR_SEEDS" reload:"yes"`
	MetricsListen        string        `validate:"omitempty,ipport" flag:"HAWTHORNSPAR_METRICS_LISTEN"`
	Store                string        `validate:"required,ipport" flag:"HAWTHORNSPAR_STORE"`
	RetryRatio           float64       `validate:"min=0,max=10" flag:"HAWTHORNSPAR_RETRY_RATIO" reload:"yes"`
	RetryExtra           float64       `validate:"min=0,max=1000000" flag:"HAWTHORNSPAR_RETRY_EXTRA" reload:"yes"`
	RetryWindow          time.Duration `validate:"min=1s,max=10m" flag:"HAWTHORNSPAR_RETRY_WINDOW" reload:"yes"`
	GracePeriod          time.Duration `validate:"min=1s,max=10m" flag:"HAWTHORNSPAR_GRACE" reload:"yes"`
	BudgetReportInterval time.Duration `validate:"min=100ms,max=1m" flag:"HAWTHORNSPAR_BUDGET_REPORT"`
	StoreWritesPerSecond float64       `validate:"min=1,max=1000000" flag:"HAWTHORNSPAR_STORE_WRITES" reload:"yes"`
	BudgetGroups         int           `validate:"min=0,max=4096" flag:"HAWTHORNSPAR_BUDGET_GROUPS"`
	DrainNotice          time.Duration `validate:"min=0,max=10m" flag:"HAWTHORNSPAR_DRAIN_NOTICE" reload:"yes"`
	LinkMbps             float64       `validate:"min=0,max=1000000" flag:"HAWTHORNSPAR_LINK_MBPS"`
	MemoryMB             int           `validate:"min=0" flag:"HAWTHORNSPAR_MEMORY_MB"`
	ColdOverrun          float64       `validate:"min=0,max=1000" flag:"HAWTHORNSPAR_COLD_OVERRUN" reload:"yes"`
	ColdSlack            float64       `validate:"min=0,max=1000000" flag:"HAWTHORNSPAR_COLD_SLACK" reload:"yes"`
	Verbosity            int           `validate:"min=0,max=2" flag:"HAWTHORNSPAR_VERBOSITY"`
}

// ParseGateway parses and validates the content of a settings file. It ignores
// unknown names, and returns an *Error that lists all problems found.
func ParseGateway(raw []byte) (Gateway, error) {
	return ParseGatewayWithDefaults(raw, func(string) string { return "" })
}

// ParseGatewayWithDefaults parses as ParseGateway does. lookup returns the value of a name
// that the file lacks, or an empty text if there is none.
func ParseGatewayWithDefaults(raw []byte, lookup func(name string) string) (Gateway, error) {
	values, err := godotenv.UnmarshalBytes(raw)
	if err != nil {
		return Gateway{}, &Error{Problems: []string{"the file: " + err.Error()}}
	}
	g := Gateway{}
	var problems []string
	target := reflect.ValueOf(&g).Elem()
	for i := range target.NumField() {
		name := target.Type().Field(i).Tag.Get("flag")
		value := values[name]
		if value == "" {
			value = lookup(name)
		}
		if value != "" && !setField(target.Field(i), value) {
			problems = append(problems, name+" cannot be read: "+value)
		}
	}
	if len(problems) == 0 {
		problems = checkGateway(g)
	}
	if len(problems) > 0 {
		return Gateway{}, &Error{Problems: problems}
	}
	return g, nil
}

// Text encodes the settings in the format that ParseGateway reads. It omits
// fields that have their zero value.
func (g Gateway) Text() string {
	var lines strings.Builder
	v := reflect.ValueOf(g)
	for i := range v.NumField() {
		if field := v.Field(i); !field.IsZero() {
			fmt.Fprintf(&lines, "%s=%s\n", v.Type().Field(i).Tag.Get("flag"), formatField(field))
		}
	}
	return lines.String()
}

// formatField encodes a field's value in the format that setField parses.
func formatField(field reflect.Value) string {
	if list, ok := field.Interface().([]string); ok {
		return strings.Join(list, ",")
	}
	return fmt.Sprint(field.Interface())
}

// checkGateway returns one problem for each field that fails its validate tag.
func checkGateway(g Gateway) []string {
	v := validator.New()
	if err := v.RegisterValidation("ipport", isIPPort); err != nil {
		return []string{err.Error()}
	}
	var problems []string
	var failed validator.ValidationErrors
	if err := v.Struct(g); errors.As(err, &failed) {
		for _, f := range failed {
			problems = append(problems, describe(reflect.TypeFor[Gateway](), f))
		}
	}
	return problems
}

// setField parses value into field according to the field's type and reports
// whether that succeeded. A duration needs a unit, as in 1.5s.
func setField(field reflect.Value, value string) bool {
	switch field.Interface().(type) {
	case string:
		field.SetString(value)
		return true
	case []string:
		field.Set(reflect.ValueOf(strings.Split(value, ",")))
		return true
	case time.Duration:
		d, err := time.ParseDuration(value)
		field.SetInt(int64(d))
		return err == nil
	case int:
		n, err := strconv.Atoi(value)
		field.SetInt(int64(n))
		return err == nil
	case float64:
		x, err := strconv.ParseFloat(value, 64)
		field.SetFloat(x)
		return err == nil
	}
	return false
}
