package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

const maxEventBytes = 16 << 20

// testEvent is a line of the output of go test -json.
type testEvent struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
	// FailedBuild is the import path whose failed build made the package fail.
	FailedBuild string
}

// result collects the outcomes of the tests.
type result struct {
	passed      int
	failed      []string
	knownFailed []string
}

// packageState is the state of one package while its tests run.
type packageState struct {
	// running has the output of each test that has started but not ended.
	running map[string]*strings.Builder
	// output was printed outside of tests.
	output     strings.Builder
	testFailed bool
	failed     bool
	ended      bool
}

// failedByTests reports whether failed tests alone explain the failure of the package: all tests
// have ended, and the test binary printed its verdict and nothing else outside of them.
func (p *packageState) failedByTests(path string) bool {
	if !p.testFailed || len(p.running) > 0 {
		return false
	}
	summary, ok := strings.CutPrefix(p.output.String(), "FAIL\nFAIL\t"+path+"\t")
	return ok && strings.Count(summary, "\n") == 1
}

// collector reads the events of one run of go test, prints the output of what failed and adds
// the outcomes to result.
type collector struct {
	output        io.Writer
	knownFailures map[string]bool
	result        *result
	packages      map[string]*packageState
	// buildOutput is keyed by import path.
	buildOutput map[string]*strings.Builder
}

func newCollector(output io.Writer, knownFailures map[string]bool, outcome *result) *collector {
	return &collector{
		output:        output,
		knownFailures: knownFailures,
		result:        outcome,
		packages:      map[string]*packageState{},
		buildOutput:   map[string]*strings.Builder{},
	}
}

func (c *collector) collect(input io.Reader) error {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		var event testEvent
		if err := json.Unmarshal(scanner.Bytes(), &event); err != nil {
			fmt.Fprintln(c.output, scanner.Text())
			continue
		}
		switch {
		case event.ImportPath != "":
			c.handleBuild(event)
		case event.Test != "":
			c.handleTest(event)
		case event.Package != "":
			c.handlePackage(event)
		}
	}
	return scanner.Err()
}

func (c *collector) handleBuild(event testEvent) {
	switch event.Action {
	case "build-output":
		if c.buildOutput[event.ImportPath] == nil {
			c.buildOutput[event.ImportPath] = &strings.Builder{}
		}
		c.buildOutput[event.ImportPath].WriteString(event.Output)
	case "build-fail":
		// The packages that need this build fail with FailedBuild set.
		if text := c.buildOutput[event.ImportPath]; text != nil {
			fmt.Fprint(c.output, text.String())
		}
	}
}

func (c *collector) packageState(path string) *packageState {
	if c.packages[path] == nil {
		c.packages[path] = &packageState{running: map[string]*strings.Builder{}}
	}
	return c.packages[path]
}

func (c *collector) handleTest(event testEvent) {
	p := c.packageState(event.Package)
	text := p.running[event.Test]
	switch event.Action {
	case "run":
		p.running[event.Test] = &strings.Builder{}
	case "output":
		if text == nil {
			text = &p.output
		}
		text.WriteString(event.Output)
	case "pass":
		delete(p.running, event.Test)
		c.result.passed++
	case "skip":
		delete(p.running, event.Test)
	case "fail":
		delete(p.running, event.Test)
		if text != nil {
			fmt.Fprint(c.output, text.String())
		}
		p.testFailed = true
		name := event.Package + " " + event.Test
		topLevelTest, _, _ := strings.Cut(event.Test, "/")
		if c.knownFailures[event.Package+" "+topLevelTest] {
			c.result.knownFailed = append(c.result.knownFailed, name)
			return
		}
		c.result.failed = append(c.result.failed, name)
	}
}

func (c *collector) handlePackage(event testEvent) {
	p := c.packageState(event.Package)
	switch event.Action {
	case "output":
		p.output.WriteString(event.Output)
	case "pass":
		p.ended = true
		fmt.Fprintf(c.output, "ok   %s\n", event.Package)
	case "skip":
		p.ended = true
	case "fail":
		p.ended = true
		p.failed = true
		c.handlePackageFailure(p, event)
	}
}

// handlePackageFailure prints the output of the package and, since a crash of the test binary
// is attributed to a test that never ends, that of the running tests.
func (c *collector) handlePackageFailure(p *packageState, event testEvent) {
	running := slices.Sorted(maps.Keys(p.running))
	for _, test := range running {
		fmt.Fprint(c.output, p.running[test].String())
	}
	fmt.Fprint(c.output, p.output.String())
	var reason string
	switch {
	case event.FailedBuild != "":
		reason = fmt.Sprintf("build of %s failed", event.FailedBuild)
	case len(running) > 0:
		reason = "test binary ended during " + strings.Join(running, ", ")
	case p.failedByTests(event.Package):
		return
	case p.testFailed:
		reason = "unexpected end or output of the test binary besides the failed tests"
	default:
		reason = "test binary failed outside of its tests"
	}
	c.result.failed = append(c.result.failed, fmt.Sprintf("%s (%s)", event.Package, reason))
}

// checkEnd adds the failures of go test itself: packages that have no outcome, and an exit code that
// no failed package explains. A process ended by a signal has the exit code -1.
func (c *collector) checkEnd(packages []string, exitCode int) {
	anyFailed := false
	for _, p := range c.packages {
		anyFailed = anyFailed || p.failed
	}
	for _, path := range packages {
		p := c.packageState(path)
		if p.ended {
			continue
		}
		for _, test := range slices.Sorted(maps.Keys(p.running)) {
			fmt.Fprint(c.output, p.running[test].String())
		}
		c.result.failed = append(c.result.failed, path+" (no outcome)")
	}
	if exitCode != 0 && (exitCode != 1 || !anyFailed) {
		c.result.failed = append(c.result.failed, fmt.Sprintf("go test (exit code %d)", exitCode))
	}
}
