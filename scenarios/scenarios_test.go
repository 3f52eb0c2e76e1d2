package scenarios

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rogpeppe/go-internal/testscript"
)

func TestScenarios(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "scenarios")
}

// binDir is the directory of the programs built for the suite.
var binDir string

var _ = ginkgo.BeforeSuite(func() {
	directory, err := os.MkdirTemp("", "hawthornspar")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	binDir = directory
	build := exec.Command("go", "build", "-o", directory, "hawthornspar/cmd/...")
	out, err := build.CombinedOutput()
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), string(out))
})

var _ = ginkgo.AfterSuite(func() { os.RemoveAll(binDir) })

// Each script is one spec. SCENARIO=NAME in the environment runs one of them.
var _ = ginkgo.Describe("scenario", func() {
	pattern := "*.txtar"
	if only := os.Getenv("SCENARIO"); only != "" {
		pattern = only + ".txtar"
	}
	files, err := filepath.Glob(pattern)
	if err != nil {
		panic(err)
	}
	for _, file := range files {
		ginkgo.It(file, func() {
			testscript.RunT(&adapter{ginkgo.GinkgoT()}, testscript.Params{
				Files: []string{file}, Setup: setUp, Cmds: commands, RequireUniqueNames: true,
			})
		})
	}
})

// adapter makes a ginkgo test usable as a testscript.T.
type adapter struct{ ginkgo.GinkgoTInterface }

// Run runs f as part of the current spec, without a subtest.
func (a *adapter) Run(_ string, f func(testscript.T)) { f(a) }

// Verbose reports whether the tests run with -v.
func (a *adapter) Verbose() bool { return testing.Verbose() }

// setUp attaches an empty fleet to a script's environment.
func setUp(env *testscript.Env) error {
	f := newFleet(binDir, env.WorkDir)
	env.Values[fleetKey{}] = f
	env.Defer(f.close)
	return nil
}

// fleetKey is the key of the fleet in a script's values.
type fleetKey struct{}
