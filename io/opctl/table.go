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
	// exitFailure means that the subcommand failed or found a fault.
	exitFailure
	exitUsage
)

type subcommand struct {
	name string
	// help is a one-line description.
	help string
	// usage lists the arguments that follow the name.
	usage   string
	example string
	// prepare returns the options to be filled in by go-flags and the function that uses them.
	prepare func() (options any, run runFunc)
}

// runFunc runs a subcommand with its positional arguments. The returned error is printed with
// the advice for its kind, unless it is errReported.
type runFunc func(args []string, out io.Writer) error

// errReported is returned by a subcommand that has already printed the faults it found.
var errReported = errors.New("faults were reported")

// subcommands returns all subcommands in the order in which help lists them.
func subcommands() []subcommand {
	return []subcommand{
		checkCommand,
		publishCommand,
		checkpointCommand,
		statusCommand,
		explainCommand,
		timelineCommand,
		traceCommand,
		crashesCommand,
	}
}

// Main runs verbenactl with the given arguments, which exclude the program name, and returns the
// exit code: 0 for success, 1 for a failure, 2 for an invalid command line.
func Main(args []string, out, errOut io.Writer) int {
	if len(args) == 0 {
		writeUsage(errOut)
		return exitUsage
	}
	switch args[0] {
	case "--help", "-h", "help":
		writeUsage(out)
		return exitOK
	}
	for _, command := range subcommands() {
		if command.name == args[0] {
			return command.execute(args[1:], out, errOut)
		}
	}
	reportError(errOut, "verbenactl", core.Errorf(core.Usage, "unknown subcommand %q", args[0]))
	return exitUsage
}

func (s subcommand) execute(args []string, out, errOut io.Writer) int {
	options, run := s.prepare()
	parser := flags.NewNamedParser("verbenactl "+s.name, flags.HelpFlag|flags.PassDoubleDash)
	parser.Usage = s.usage
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		reportError(errOut, s.fullName(), err)
		return exitFailure
	}
	rest, err := parser.ParseArgs(args)
	if flags.WroteHelp(err) {
		s.writeHelp(out, parser)
		return exitOK
	}
	if err != nil {
		reportError(errOut, s.fullName(), core.Errorf(core.Usage, "%v", err))
		return exitUsage
	}
	switch err = run(rest, out); {
	case err == nil:
		return exitOK
	case errors.Is(err, errReported):
		return exitFailure
	case core.KindOf(err) == core.Usage:
		reportError(errOut, s.fullName(), err)
		return exitUsage
	default:
		reportError(errOut, s.fullName(), err)
		return exitFailure
	}
}

func (s subcommand) fullName() string {
	return "verbenactl " + s.name
}

// reportError prints the command and the error and, on a second line, the advice for its kind.
func reportError(errOut io.Writer, commandName string, err error) {
	_, _ = fmt.Fprintf(errOut, "%s: %v\n%s\n", commandName, err, core.KindOf(err).Info().Action)
}

func writeUsage(out io.Writer) {
	var text strings.Builder
	text.WriteString("usage: verbenactl SUBCOMMAND [options]\n\n")
	for _, command := range subcommands() {
		fmt.Fprintf(&text, "  %-12s %s\n", command.name, command.help)
	}
	text.WriteString("\nverbenactl SUBCOMMAND --help prints the options and an example.\n")
	_, _ = io.WriteString(out, text.String())
}

func (s subcommand) writeHelp(out io.Writer, parser *flags.Parser) {
	_, _ = fmt.Fprintf(out, "%s\n\n", s.help)
	parser.WriteHelp(out)
	_, _ = fmt.Fprintf(out, "\nExample:\n  %s\n", s.example)
}
