package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// replay passes recorded events of go test -json through a collector and the report.
func replay(c *qt.C, recording string, goTestFailed bool, known ...string) (output string, exitCode int) {
	events, err := os.Open(filepath.Join("testdata", recording))
	c.Assert(err, qt.IsNil)
	defer events.Close()
	knownFailures := map[string]bool{}
	for _, name := range known {
		knownFailures[name] = true
	}
	var text strings.Builder
	outcome := result{}
	c.Assert(newCollector(&text, knownFailures, &outcome).collect(events), qt.IsNil)
	exitCode = report(&text, outcome, goTestFailed)
	return text.String(), exitCode
}

// TestFailureIsShown guards against a package that fails without its output, or without a line
// that says what failed.
func TestFailureIsShown(t *testing.T) {
	for _, test := range []struct {
		recording string
		output    string
		line      string
	}{
		{
			recording: "exitInTest.json",
			output:    "ThreadSanitizer: CHECK failed: tsan_rtl.cpp:282",
			line:      "failed: sample/exitInTest (test binary ended during TestB)",
		},
		{
			recording: "crashInParallelTest.json",
			output:    "fatal error: fault",
			line:      "failed: sample/crashInParallelTest (test binary ended during TestA, TestA/one, TestA/two)",
		},
		{
			recording: "panic.json",
			output:    "panic: boom",
			line:      "failed: sample/panic (test binary ended during TestB)",
		},
		{
			recording: "timeout.json",
			output:    "panic: test timed out after 2s",
			line:      "failed: sample/timeout (test binary ended during TestB)",
		},
		{
			recording: "exitInTestMain.json",
			output:    "goleak: Errors on successful test run: leaked",
			line:      "failed: sample/exitInTestMain (test binary failed outside of its tests)",
		},
		{
			recording: "exitBeforeTests.json",
			output:    "broken init",
			line:      "failed: sample/exitBeforeTests (test binary failed outside of its tests)",
		},
		{
			recording: "buildFailure.json",
			output:    "buildFailure/a_test.go:3:27: undefined: undefined",
			line:      "failed: sample/buildFailure (build of sample/buildFailure [sample/buildFailure.test] failed)",
		},
		{
			recording: "failedTestAlone.json",
			output:    "a_test.go:3: known fault",
			line:      "failed: sample/failedTestAlone TestKnown",
		},
	} {
		t.Run(test.recording, func(t *testing.T) {
			c := qt.New(t)
			output, exitCode := replay(c, test.recording, true)
			c.Check(output, qt.Contains, test.output)
			c.Check(output, qt.Contains, test.line+"\n")
			c.Check(output, qt.Contains, " passed, 1 failed\n")
			c.Check(exitCode, qt.Equals, 1)
		})
	}
}
