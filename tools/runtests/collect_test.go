package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// recordedRun is a run of go test with recorded events.
type recordedRun struct {
	recording string
	packages  []string
	exitCode  int
}

// replay passes recorded runs through collectors and the report.
func replay(c *qt.C, knownFailures map[string]bool, runs ...recordedRun) (output string, exitCode int) {
	var text strings.Builder
	outcome := result{}
	for _, run := range runs {
		events, err := os.Open(filepath.Join("testdata", run.recording))
		c.Assert(err, qt.IsNil)
		defer events.Close()
		collector := newCollector(&text, knownFailures, &outcome)
		c.Assert(collector.collect(events), qt.IsNil)
		collector.checkEnd(run.packages, run.exitCode)
	}
	exitCode = report(&text, outcome)
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
			output, exitCode := replay(c, nil, recordedRun{
				recording: test.recording,
				exitCode:  1,
			})
			c.Check(output, qt.Contains, test.output)
			c.Check(output, qt.Contains, test.line+"\n")
			c.Check(output, qt.Contains, " passed, 1 failed\n")
			c.Check(exitCode, qt.Equals, 1)
		})
	}
}

// TestKnownFailureHidesNoOther guards against a failure without a failed test that is ignored because
// a known failure happened in the same run.
func TestKnownFailureHidesNoOther(t *testing.T) {
	knownFailure := recordedRun{
		recording: "failedTestAlone.json",
		packages:  []string{"sample/failedTestAlone"},
		exitCode:  1,
	}
	for _, test := range []struct {
		name   string
		runs   []recordedRun
		output string
		failed string
	}{
		{
			name:   "known failure alone",
			runs:   []recordedRun{knownFailure},
			output: "a_test.go:3: known fault",
		},
		{
			name: "crash",
			runs: []recordedRun{{
				recording: "crashAfterFailedTest.json",
				packages:  []string{"sample/crashAfterFailedTest"},
				exitCode:  1,
			}},
			output: "fatal error: fault",
			failed: "sample/crashAfterFailedTest (test binary ended during TestB)",
		},
		{
			name: "error in TestMain",
			runs: []recordedRun{{
				recording: "errorAfterFailedTest.json",
				packages:  []string{"sample/errorAfterFailedTest"},
				exitCode:  1,
			}},
			output: "processes left running: 1",
			failed: "sample/errorAfterFailedTest (unexpected end or output of the test binary besides the failed tests)",
		},
		{
			name: "package without outcome",
			runs: []recordedRun{{
				recording: "failedTestAlone.json",
				packages:  []string{"sample/failedTestAlone", "sample/other"},
				exitCode:  1,
			}},
			failed: "sample/other (no outcome)",
		},
		{
			name: "go test killed",
			runs: []recordedRun{{
				recording: "failedTestAlone.json",
				packages:  []string{"sample/failedTestAlone"},
				exitCode:  -1,
			}},
			failed: "go test (exit code -1)",
		},
		{
			name: "other run fails without a failed package",
			runs: []recordedRun{
				knownFailure,
				{
					recording: "passed.json",
					packages:  []string{"sample/passed"},
					exitCode:  1,
				},
			},
			failed: "go test (exit code 1)",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			output, exitCode := replay(c, map[string]bool{
				"sample/failedTestAlone TestKnown":      true,
				"sample/crashAfterFailedTest TestKnown": true,
				"sample/errorAfterFailedTest TestKnown": true,
			}, test.runs...)
			c.Check(output, qt.Contains, test.output)
			c.Check(output, qt.Matches, `(?s).*known red: sample/\w+ TestKnown\n.*`)
			if test.failed == "" {
				c.Check(output, qt.Contains, " passed, 0 failed\n")
				c.Check(exitCode, qt.Equals, 0)
				return
			}
			c.Check(output, qt.Contains, "failed: "+test.failed+"\n")
			c.Check(output, qt.Contains, " passed, 1 failed\n")
			c.Check(exitCode, qt.Equals, 1)
		})
	}
}
