// Command runtests runs all tests of the module with the race detector, those of io/agent also without
// it. The failure of a test that KNOWN-RED.txt lists is printed and ignored; any other failure makes
// the command fail.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
)

const knownFailuresFile = "KNOWN-RED.txt"

// timeSensitivePackage contains the tests with real daemons, which check time limits of a few
// seconds. It runs separately, so that other packages do not use the CPU time that the limits
// assume.
const timeSensitivePackage = "verbenaway/io/fleet"

// crowdPackage contains the tests of whole processes under crowds of clients. Its bounds on memory hold
// for a process that gets the CPU time that it needs, so that it runs last and alone. The processes are
// built without the race detector, which the clients do not need either.
const crowdPackage = "verbenaway/platform/crowd"

// testTimeout bounds the tests of a package. Those of crowdPackage take two seconds each, one after the
// other, and the start of a process.
const testTimeout = "600s"

// virtualTimePackage limits itself to one CPU under the race detector. It is also run without the
// detector, on all CPUs.
const virtualTimePackage = "verbenaway/io/agent"

// testRun is one run of go test.
type testRun struct {
	packages   []string
	detectRace bool
}

func main() {
	knownFailures, err := readKnownFailures(knownFailuresFile)
	if err != nil {
		exitWithError(knownFailuresFile, err)
	}
	others, err := otherPackages()
	if err != nil {
		exitWithError("go list", err)
	}
	outcome := result{}
	for _, run := range []testRun{
		{
			packages:   others,
			detectRace: true,
		},
		{packages: []string{virtualTimePackage}},
		{
			packages:   []string{timeSensitivePackage},
			detectRace: true,
		},
		{packages: []string{crowdPackage}},
	} {
		if err = runPackages(&outcome, knownFailures, run); err != nil {
			exitWithError("go test", err)
		}
	}
	os.Exit(report(os.Stdout, outcome))
}

func exitWithError(operation string, err error) {
	fmt.Fprintf(os.Stderr, "runtests: %s: %v\n", operation, err)
	os.Exit(2)
}

// otherPackages returns all packages of the module except those that run alone.
func otherPackages() ([]string, error) {
	output, err := exec.Command("go", "list", "./...").Output()
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(strings.Fields(string(output)), func(name string) bool {
		return name == timeSensitivePackage || name == crowdPackage
	}), nil
}

// runPackages runs the tests of some packages and adds the results to outcome.
func runPackages(outcome *result, knownFailures map[string]bool, run testRun) error {
	args := []string{"test", "-json", "-timeout", testTimeout}
	if run.detectRace {
		args = append(args, "-race")
	}
	args = append(args, os.Args[1:]...)
	command := exec.Command("go", append(args, run.packages...)...)
	command.Stderr = os.Stderr
	output, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err = command.Start(); err != nil {
		return err
	}
	events := newCollector(os.Stdout, knownFailures, outcome)
	if err = events.collect(output); err != nil {
		return err
	}
	err = command.Wait()
	var exitErr *exec.ExitError
	if err != nil && !errors.As(err, &exitErr) {
		return err
	}
	events.checkEnd(run.packages, command.ProcessState.ExitCode())
	return nil
}

// readKnownFailures returns the tests listed as "package TestName" at the start of a line. A missing
// file is treated as empty.
func readKnownFailures(path string) (map[string]bool, error) {
	knownFailures := map[string]bool{}
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return knownFailures, nil
	}
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) >= 2 && strings.HasPrefix(fields[0], "verbenaway") && strings.HasPrefix(fields[1], "Test") {
			knownFailures[fields[0]+" "+fields[1]] = true
		}
	}
	return knownFailures, nil
}

// report prints a summary and returns the exit code. A run in which no test passed fails too.
func report(output io.Writer, outcome result) int {
	for _, name := range outcome.knownFailed {
		fmt.Fprintf(output, "known red: %s\n", name)
	}
	for _, name := range outcome.failed {
		fmt.Fprintf(output, "failed: %s\n", name)
	}
	fmt.Fprintf(output, "%d passed, %d failed\n", outcome.passed, len(outcome.failed))
	if len(outcome.failed) > 0 || outcome.passed == 0 {
		return 1
	}
	return 0
}
