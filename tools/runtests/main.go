// Command runtests runs all tests of the module with the race detector. The failure of a test that
// KNOWN-RED.txt lists is printed and ignored; any other failure makes the command fail.
package main

import (
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
	goTestFailed := false
	for _, packages := range [][]string{others, {timeSensitivePackage}} {
		succeeded, runErr := runPackages(&outcome, knownFailures, packages)
		if runErr != nil {
			exitWithError("go test", runErr)
		}
		goTestFailed = goTestFailed || !succeeded
	}
	os.Exit(report(os.Stdout, outcome, goTestFailed))
}

func exitWithError(operation string, err error) {
	fmt.Fprintf(os.Stderr, "runtests: %s: %v\n", operation, err)
	os.Exit(2)
}

// otherPackages returns all packages of the module except timeSensitivePackage.
func otherPackages() ([]string, error) {
	output, err := exec.Command("go", "list", "./...").Output()
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(strings.Fields(string(output)), func(name string) bool {
		return name == timeSensitivePackage
	}), nil
}

// runPackages runs the tests of the given packages and adds the results to outcome.
func runPackages(outcome *result, knownFailures map[string]bool, packages []string) (succeeded bool, err error) {
	args := append([]string{"test", "-race", "-json", "-timeout", "300s"}, os.Args[1:]...)
	command := exec.Command("go", append(args, packages...)...)
	command.Stderr = os.Stderr
	output, err := command.StdoutPipe()
	if err != nil {
		return false, err
	}
	if err = command.Start(); err != nil {
		return false, err
	}
	if err = newCollector(os.Stdout, knownFailures, outcome).collect(output); err != nil {
		return false, err
	}
	return command.Wait() == nil, nil
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

// report prints a summary and returns the exit code. The run also fails if go test failed
// without a failed test, which is a crash, or if no test passed.
func report(output io.Writer, outcome result, goTestFailed bool) int {
	for _, name := range outcome.knownFailed {
		fmt.Fprintf(output, "known red: %s\n", name)
	}
	for _, name := range outcome.failed {
		fmt.Fprintf(output, "failed: %s\n", name)
	}
	fmt.Fprintf(output, "%d passed, %d failed\n", outcome.passed, len(outcome.failed))
	if len(outcome.failed) > 0 || outcome.passed == 0 || goTestFailed && len(outcome.knownFailed) == 0 {
		return 1
	}
	return 0
}
