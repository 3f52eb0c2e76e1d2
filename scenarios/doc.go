// Package scenarios holds failure scenarios as testscript files. The tests of
// the package run each file against real processes.
package scenarios
