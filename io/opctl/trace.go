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
	help:    "Show the path of a request across hosts from their log files.",
	usage:   "ID FILE...",
	example: "verbenactl trace 9c41d07be2a35f68 logs/*.log",
	prepare: func() (any, runFunc) {
		options := &traceOptions{}
		return options, options.run
	},
}

type traceOptions struct{}

// callSeparator separates the parts of a call's id: the id of the request that made the call and
// the call's own suffix.
const callSeparator = "."

const maxLogLineBytes = 1 << 20

type logLine struct {
	timestamp string
	host      string
	message   string
	request   string
	errorKind string
	// pairs are the remaining pairs as key=value, in the order of the line.
	pairs []string
}

// run prints the lines about the request from all files in the order of their timestamps, and
// explains their error kinds.
func (o *traceOptions) run(args []string, out io.Writer) error {
	if len(args) < 2 {
		return core.Errorf(core.Usage, "trace takes the id of a request and at least one file, got %d arguments", len(args))
	}
	var lines []logLine
	malformed := 0
	for _, path := range args[1:] {
		found, skipped, err := readLog(path, func(line *logLine) bool {
			return line.request == args[0] || strings.HasPrefix(line.request, args[0]+callSeparator)
		})
		if err != nil {
			return err
		}
		lines = append(lines, found...)
		malformed += skipped
	}
	slices.SortStableFunc(lines, func(a, b logLine) int {
		return cmp.Compare(a.timestamp, b.timestamp)
	})
	kinds := writeTrace(out, lines)
	for _, kind := range kinds {
		info := kind.Info()
		_, _ = fmt.Fprintf(out, "%s: %s %s\n", kind, info.Meaning, info.Action)
	}
	if malformed > 0 {
		_, _ = fmt.Fprintf(out, "skipped %d malformed lines\n", malformed)
	}
	if len(lines) == 0 {
		return core.Errorf(core.Usage, "no line in %d files is about request %q; lines about successful requests are sampled", len(args)-1, args[0])
	}
	return nil
}

// readLog returns the lines of a file that are wanted, and the number of malformed lines.
func readLog(path string, isWanted func(line *logLine) bool) (found []logLine, skipped int, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, core.Errorf(core.Usage, "%v", err)
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), "timestamp=") {
			skipped++
			continue
		}
		line, ok := parseLogLine(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		if isWanted(&line) {
			found = append(found, line)
		}
	}
	if err = scanner.Err(); err != nil {
		return nil, 0, core.Errorf(core.Usage, "%s: %v", path, err)
	}
	return found, skipped, nil
}

// parseLogLine parses one line. Text before the timestamp, such as a prefix added by a log
// collector, is ignored.
func parseLogLine(text string) (logLine, bool) {
	decoder := logfmt.NewDecoder(strings.NewReader(text[strings.Index(text, "timestamp="):]))
	var line logLine
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

// value returns the value of one of the remaining pairs, "" if there is none.
func (l *logLine) value(key string) string {
	for _, pair := range l.pairs {
		if value, ok := strings.CutPrefix(pair, key+"="); ok {
			return value
		}
	}
	return ""
}

// writeTrace prints the lines and returns the distinct error kinds in the order in which they
// occur.
func writeTrace(out io.Writer, lines []logLine) []core.ErrorKind {
	var kinds []core.ErrorKind
	for _, line := range lines {
		_, _ = fmt.Fprintf(out, "%s %s %s", line.timestamp, line.host, line.message)
		if _, call, isCall := strings.Cut(line.request, callSeparator); isCall {
			_, _ = fmt.Fprintf(out, " call=%s", call)
		}
		if line.errorKind != "" {
			_, _ = fmt.Fprintf(out, " error=%s", line.errorKind)
			if kind := core.ErrorKind(line.errorKind); !slices.Contains(kinds, kind) {
				kinds = append(kinds, kind)
			}
		}
		_, _ = fmt.Fprintf(out, " %s\n", strings.Join(line.pairs, " "))
	}
	return kinds
}
