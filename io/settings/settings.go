// Package settings reads the settings of hawthornspard and validates them before
// the daemon starts. The daemon's settings come from flags and environment
// variables, those of its gateway command from a file.
package settings

import (
	"net/netip"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/urfave/cli/v3"

	"hawthornspar/io/certificate"
)

// Settings holds the daemon's settings. The flag tag of a field names its flag.
type Settings struct {
	Name           string        `validate:"required,max=64,excludesall=/ " flag:"name"`
	FailureDomain  string        `validate:"required,max=64" flag:"failure-domain"`
	Listen         string        `validate:"required,ipport" flag:"listen"`
	PeerListen     string        `validate:"required,ipport" flag:"peer-listen"`
	PeerAddress    string        `validate:"required,ipport" flag:"peer-address"`
	OperatorListen string        `validate:"required,ipport" flag:"operator-listen"`
	Platform       string        `validate:"required,ipport" flag:"platform"`
	Authority      string        `validate:"required,pem" flag:"authority"`
	Certificate    string        `validate:"required,pem" flag:"certificate"`
	Key            string        `validate:"required,pem" flag:"key"`
	BootstrapHash  string        `validate:"omitempty,len=64,hexadecimal" flag:"bootstrap-hash"`
	FlushInterval  time.Duration `validate:"min=100ms,max=30s" flag:"flush-every"`
	GrantHorizon   time.Duration `validate:"min=1s,max=1h" flag:"grant-horizon"`
	MaxListLag     time.Duration `validate:"min=100ms,max=10m" flag:"list-lag"`
	Verbosity      int           `validate:"min=0,max=2" flag:"verbosity"`
}

// Error lists the problems of all invalid settings.
type Error struct{ Problems []string }

// Error implements error.
func (e *Error) Error() string { return "wrong settings: " + strings.Join(e.Problems, "; ") }

// Flags returns the daemon's flags. Each flag can also be set by the environment
// variable that envVar names.
func Flags() []cli.Flag {
	stringFlag := func(name, usage, value string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Value: value, Sources: cli.EnvVars(envVar(name))}
	}
	durationFlag := func(name, usage string, value time.Duration) cli.Flag {
		return &cli.DurationFlag{Name: name, Usage: usage, Value: value, Sources: cli.EnvVars(envVar(name))}
	}
	return []cli.Flag{
		stringFlag("name", "this VM's name; its certificate must carry the same", ""),
		stringFlag("failure-domain", "the failure domain that this VM is in", ""),
		stringFlag("listen", "IP:port for callers", "0.0.0.0:8080"),
		stringFlag("operator-listen", "IP:port for operators, health and metrics", "127.0.0.1:8081"),
		stringFlag("peer-listen", "IP:port (UDP) for other VMs", "0.0.0.0:8082"),
		stringFlag("peer-address", "IP:port (UDP) at which other VMs reach this one", ""),
		stringFlag("platform", "IP:port of the platform's table service, object store and list of VMs", ""),
		stringFlag("authority", "the fleet's certificate authority: PEM, or a file that holds it", ""),
		stringFlag("certificate", "this VM's certificate: PEM, or a file that holds it", ""),
		stringFlag("key", "this VM's private key: PEM, or a file that holds it", ""),
		stringFlag("bootstrap-hash", "SHA-256 (hex) of the secret that may create the first operator's key", ""),
		durationFlag("flush-every", "time between writes of charges to the table", 2*time.Second),
		durationFlag("grant-horizon", "spending that a grant should last for while the table is out", 2*time.Minute),
		durationFlag("list-lag", "longest lag of the platform's list of VMs", 10*time.Second),
		&cli.IntFlag{Name: "verbosity", Usage: "0 for events, 1 and 2 for more", Sources: cli.EnvVars(envVar("verbosity"))},
	}
}

// envVar returns the name of the environment variable that sets a flag.
func envVar(flag string) string {
	return "HAWTHORNSPAR_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Read returns the settings given by the flags of c. If any setting is invalid,
// it returns an *Error that lists all problems.
func Read(c *cli.Command) (Settings, error) {
	s := Settings{
		Name: c.String("name"), FailureDomain: c.String("failure-domain"),
		Listen: c.String("listen"), OperatorListen: c.String("operator-listen"),
		PeerListen: c.String("peer-listen"), PeerAddress: c.String("peer-address"),
		Platform:  c.String("platform"),
		Authority: readPEM(c.String("authority")), Certificate: readPEM(c.String("certificate")), Key: readPEM(c.String("key")),
		BootstrapHash: c.String("bootstrap-hash"),
		FlushInterval: c.Duration("flush-every"), GrantHorizon: c.Duration("grant-horizon"), MaxListLag: c.Duration("list-lag"),
		Verbosity: c.Int("verbosity"),
	}
	return s, Check(s)
}

// readPEM returns value itself if it is empty or inline PEM, and otherwise the
// content of the file that it names. For an unreadable file it returns a text that
// is not PEM, so that Check reports the setting.
func readPEM(value string) string {
	if value == "" || strings.HasPrefix(value, "-----BEGIN") {
		return value
	}
	raw, err := os.ReadFile(value)
	if err != nil {
		return "unreadable: " + value
	}
	return string(raw)
}

// Check validates s and returns an *Error that lists all problems, or nil. It
// validates the certificate and key only if every field is valid by itself.
func Check(s Settings) error {
	v := validator.New()
	v.RegisterValidation("ipport", isIPPort)
	v.RegisterValidation("pem", isPEM)
	var problems []string
	if err := v.Struct(s); err != nil {
		for _, f := range err.(validator.ValidationErrors) {
			problems = append(problems, describe(reflect.TypeFor[Settings](), f))
		}
	}
	if len(problems) == 0 {
		problems = checkCertificate(s)
	}
	if len(problems) > 0 {
		return &Error{Problems: problems}
	}
	return nil
}

// checkCertificate returns a problem if the authority, certificate and key cannot
// be loaded together, or if the certificate was issued to another VM.
func checkCertificate(s Settings) []string {
	own := certificate.Pair{Certificate: []byte(s.Certificate), Key: []byte(s.Key)}
	if _, err := certificate.MutualTLS([]byte(s.Authority), own); err != nil {
		return []string{"authority, certificate, key: " + err.Error()}
	}
	name, err := certificate.CommonName(own.Certificate)
	if err != nil || name != s.Name {
		return []string{"certificate: it is for VM " + name + ", not for " + s.Name}
	}
	return nil
}

// isIPPort reports whether a field is an IP address with a port other than 0.
func isIPPort(f validator.FieldLevel) bool {
	address, err := netip.ParseAddrPort(f.Field().String())
	return err == nil && address.Port() != 0
}

// isPEM reports whether a field starts like PEM. It does not decode the field.
func isPEM(f validator.FieldLevel) bool {
	return strings.HasPrefix(strings.TrimSpace(f.Field().String()), "-----BEGIN")
}
