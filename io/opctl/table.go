package opctl

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/jessevdk/go-flags"

	"verbenaway/core"
)

// Exit codes of Main.
const (
	exitOK = iota
	// exitFault means that the subcommand ran and found or met a fault.
	exitFault
	exitUsage
)

// subcommand is one row of the table.
type subcommand struct {
	name string
	// help says in one line what the subcommand does.
	help string
	// usage lists the arguments after the name.
	usage   string
	example string
	// prepare returns the options that go-flags fills in and the function that runs with them.
	prepare func() (options any, run runFunc)
}

// runFunc runs a subcommand with its positional arguments. A returned error is printed with
// the advice for its kind, except errReported.
type runFunc func(args []string, out io.Writer) error

// errReported ends a subcommand that has printed its faults itself.
var errReported = errors.New("faults were reported")

// table lists the subcommands in the order of help.
func table() []subcommand {
	return []subcommand{
		checkCommand,
		publishCommand,
		checkpointCommand,
		statusCommand,
		explainCommand,
		timelineCommand,
		traceCommand,
	}
}

// Main runs verbenactl with the arguments after its name and returns the exit code: 0 for
// success, 1 for a fault, 2 for a command line that cannot be understood.
func Main(args []string, out, errOut io.Writer) int {
	if len(args) == 0 {
		writeOverview(errOut)
		return exitUsage
	}
	switch args[0] {
	case "--help", "-h", "help":
		writeOverview(out)
		return exitOK
	}
	for _, command := range table() {
		if command.name == args[0] {
			return command.execute(args[1:], out, errOut)
		}
	}
	report(errOut, "verbenactl", core.Errorf(core.Usage, "unknown subcommand %q", args[0]))
	return exitUsage
}

// execute parses the arguments and runs the subcommand.
func (s subcommand) execute(args []string, out, errOut io.Writer) int {
	options, run := s.prepare()
	parser := flags.NewNamedParser("verbenactl "+s.name, flags.HelpFlag|flags.PassDoubleDash)
	parser.Usage = s.usage
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		report(errOut, s.title(), err)
		return exitFault
	}
	rest, err := parser.ParseArgs(args)
	if flags.WroteHelp(err) {
		s.writeHelp(out, parser)
		return exitOK
	}
	if err != nil {
		report(errOut, s.title(), core.Errorf(core.Usage, "%v", err))
		return exitUsage
	}
	switch err = run(rest, out); {
	case err == nil:
		return exitOK
	case errors.Is(err, errReported):
		return exitFault
	case core.KindOf(err) == core.Usage:
		report(errOut, s.title(), err)
		return exitUsage
	default:
		report(errOut, s.title(), err)
		return exitFault
	}
}

func (s subcommand) title() string {
	return "verbenactl " + s.name
}

// report prints an error on one line and the advice for its kind on a second.
func report(errOut io.Writer, title string, err error) {
	_, _ = fmt.Fprintf(errOut, "%s: %v\n%s\n", title, err, core.KindOf(err).Info().Action)
}

func writeOverview(out io.Writer) {
	var text strings.Builder
	text.WriteString("usage: verbenactl SUBCOMMAND [options]\n\n")
	for _, command := range table() {
		fmt.Fprintf(&text, "  %-12s %s\n", command.name, command.help)
	}
	text.WriteString("\nverbenactl SUBCOMMAND --help prints options and an example.\n")
	_, _ = io.WriteString(out, text.String())
}

func (s subcommand) writeHelp(out io.Writer, parser *flags.Parser) {
	_, _ = fmt.Fprintf(out, "%s\n\n", s.help)
	parser.WriteHelp(out)
	_, _ = fmt.Fprintf(out, "\nExample:\n  %s\n", s.example)
}
