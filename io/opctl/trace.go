package opctl

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/go-logfmt/logfmt"

	"verbenaway/core"
)

var traceCommand = subcommand{
	name:    "trace",
	help:    "Show the way of a request over all hosts from their log files.",
	usage:   "ID FILE...",
	example: "verbenactl trace 9c41d07be2a35f68 logs/*.log",
	prepare: func() (any, runFunc) {
		options := &traceOptions{}
		return options, options.run
	},
}

// traceOptions are the options of trace; it has none yet.
type traceOptions struct{}

// callSeparator stands in the id of a call between the id of the request that made it and its
// own part.
const callSeparator = "."

// maxLogLine bounds a line of a log file.
const maxLogLine = 1 << 20

// tracedLine is one line about the request.
type tracedLine struct {
	timestamp string
	host      string
	message   string
	request   string
	errorKind string
	// pairs are the other pairs in the order of the line.
	pairs []string
}

// run reads all files and prints what they tell about the request, in the order of time.
func (o *traceOptions) run(args []string, out io.Writer) error {
	if len(args) < 2 {
		return core.Errorf(core.Usage, "trace takes the id of a request and at least one file, got %d arguments", len(args))
	}
	var lines []tracedLine
	unreadable := 0
	for _, path := range args[1:] {
		found, skipped, err := traceFile(path, args[0])
		if err != nil {
			return err
		}
		lines = append(lines, found...)
		unreadable += skipped
	}
	slices.SortStableFunc(lines, func(a, b tracedLine) int {
		return cmp.Compare(a.timestamp, b.timestamp)
	})
	kinds := writeTrace(out, lines)
	for _, kind := range kinds {
		info := kind.Info()
		_, _ = fmt.Fprintf(out, "%s: %s %s\n", kind, info.Meaning, info.Action)
	}
	if unreadable > 0 {
		_, _ = fmt.Fprintf(out, "skipped %d lines that cannot be read\n", unreadable)
	}
	if len(lines) == 0 {
		return core.Errorf(core.Usage, "no line of %d files is about request %q; lines about requests that go well are sampled", len(args)-1, args[0])
	}
	return nil
}

// traceFile returns the lines of a file that concern the request or calls made for it, and
// the number of lines that are no pairs.
func traceFile(path, id string) (found []tracedLine, skipped int, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, core.Errorf(core.Usage, "%v", err)
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), "timestamp=") {
			skipped++
			continue
		}
		line, ok := parseTraced(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		if line.request == id || strings.HasPrefix(line.request, id+callSeparator) {
			found = append(found, line)
		}
	}
	if err = scanner.Err(); err != nil {
		return nil, 0, core.Errorf(core.Usage, "%s: %v", path, err)
	}
	return found, skipped, nil
}

// parseTraced reads one line. What stands before its first pair, such as a prefix of the
// tool that collected it, is passed over.
func parseTraced(text string) (tracedLine, bool) {
	decoder := logfmt.NewDecoder(strings.NewReader(text[strings.Index(text, "timestamp="):]))
	var line tracedLine
	if !decoder.ScanRecord() {
		return line, false
	}
	for decoder.ScanKeyval() {
		value := string(decoder.Value())
		switch string(decoder.Key()) {
		case "timestamp":
			line.timestamp = value
		case "message":
			line.message = value
		case "host":
			line.host = value
		case "request":
			line.request = value
		case "error":
			line.errorKind = value
		case "level":
		default:
			line.pairs = append(line.pairs, string(decoder.Key())+"="+value)
		}
	}
	return line, decoder.Err() == nil && line.timestamp != ""
}

// writeTrace prints the lines and returns the error kinds in the order of their appearance.
func writeTrace(out io.Writer, lines []tracedLine) []core.Kind {
	var kinds []core.Kind
	for _, line := range lines {
		_, _ = fmt.Fprintf(out, "%s %s %s", line.timestamp, line.host, line.message)
		if _, call, isCall := strings.Cut(line.request, callSeparator); isCall {
			_, _ = fmt.Fprintf(out, " call=%s", call)
		}
		if line.errorKind != "" {
			_, _ = fmt.Fprintf(out, " error=%s", line.errorKind)
			if kind := core.Kind(line.errorKind); !slices.Contains(kinds, kind) {
				kinds = append(kinds, kind)
			}
		}
		_, _ = fmt.Fprintf(out, " %s\n", strings.Join(line.pairs, " "))
	}
	return kinds
}
