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

var programs string

var _ = ginkgo.BeforeSuite(func() {
	directory, err := os.MkdirTemp("", "hawthornspar")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	programs = directory
	build := exec.Command("go", "build", "-o", directory, "hawthornspar/cmd/...")
	out, err := build.CombinedOutput()
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), string(out))
})

var _ = ginkgo.AfterSuite(func() { os.RemoveAll(programs) })

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

// adapter lets testscript report to ginkgo.
type adapter struct{ ginkgo.GinkgoTInterface }

func (a *adapter) Run(_ string, f func(testscript.T)) { f(a) }
func (a *adapter) Verbose() bool                      { return testing.Verbose() }

func setUp(env *testscript.Env) error {
	f := newFleet(programs, env.WorkDir)
	env.Values[fleetKey{}] = f
	env.Defer(f.close)
	return nil
}

type fleetKey struct{}
