// Command runtests runs all tests of the module with the race detector. The failure of a test that
// KNOWN-RED.txt lists is printed and ignored; any other failure makes the command fail.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
)

const knownFailuresFile = "KNOWN-RED.txt"

const maxEventBytes = 16 << 20

// testEvent is a line of the output of go test -json.
type testEvent struct {
	Action      string
	Package     string
	ImportPath  string
	Test        string
	Output      string
	FailedBuild string
}

// result collects the outcomes of the tests.
type result struct {
	passed      int
	failed      []string
	knownFailed []string
}

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
	os.Exit(report(outcome, goTestFailed))
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
	if err = collect(output, knownFailures, outcome); err != nil {
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

// collect reads the events, prints the output of failed tests and adds the results to outcome. The
// failure of a package is ignored if known failures alone caused it.
func collect(input io.Reader, knownFailures map[string]bool, outcome *result) error {
	outputByTest := map[string]*strings.Builder{}
	packagesWithKnownFailures := map[string]bool{}
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		var event testEvent
		if err := json.Unmarshal(scanner.Bytes(), &event); err != nil {
			fmt.Println(scanner.Text())
			continue
		}
		// Events of a build have an import path instead of a package.
		name := strings.TrimSpace(event.Package + event.ImportPath + " " + event.Test)
		root, _, _ := strings.Cut(name, "/Test")
		topLevelTest, _, _ := strings.Cut(event.Test, "/")
		isKnown := knownFailures[event.Package+" "+topLevelTest]
		switch event.Action {
		case "output", "build-output":
			if outputByTest[name] == nil {
				outputByTest[name] = &strings.Builder{}
			}
			outputByTest[name].WriteString(event.Output)
		case "pass":
			if event.Test != "" {
				outcome.passed++
			} else {
				fmt.Printf("ok   %s\n", root)
			}
		case "fail", "build-fail":
			if isKnown {
				packagesWithKnownFailures[event.Package] = true
				outcome.knownFailed = append(outcome.knownFailed, name)
			} else if event.Test != "" || !packagesWithKnownFailures[event.Package] || failedInPackage(outcome.failed, event.Package) {
				outcome.failed = append(outcome.failed, name)
			}
			if text := outputByTest[name]; text != nil {
				fmt.Print(text.String())
			}
		}
	}
	return scanner.Err()
}

// failedInPackage reports whether a test of the package that is not a known failure has failed.
func failedInPackage(failed []string, packagePath string) bool {
	for _, name := range failed {
		if strings.HasPrefix(name, packagePath+" ") {
			return true
		}
	}
	return false
}

// report prints a summary and returns the exit code. The run also fails if go test failed
// without a failed test, which is a crash, or if no test passed.
func report(outcome result, goTestFailed bool) int {
	for _, name := range outcome.knownFailed {
		fmt.Printf("known red: %s\n", name)
	}
	for _, name := range outcome.failed {
		fmt.Printf("failed: %s\n", name)
	}
	fmt.Printf("%d passed, %d failed\n", outcome.passed, len(outcome.failed))
	if len(outcome.failed) > 0 || outcome.passed == 0 || goTestFailed && len(outcome.knownFailed) == 0 {
		return 1
	}
	return 0
}
