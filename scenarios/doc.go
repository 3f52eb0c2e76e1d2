// Package scenarios holds the scripted scenarios of failures: one text file
// each, run by the package's tests against real processes.
package scenarios
