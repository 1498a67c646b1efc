package shell

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"verbenaway/core"
)

// Parse fills in the options of a program without subcommands. If it is not ok, the program
// ends with the code; help or what is wrong has been printed.
func Parse(name, description string, options any, args []string, errOut io.Writer) (code int, ok bool) {
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		panic(err)
	}
	rest, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(errOut, usage.Message)
		return exitOK, false
	case err != nil:
		fmt.Fprintf(errOut, "%s: %v\n", name, err)
		return exitUsage, false
	case len(rest) > 0:
		fmt.Fprintf(errOut, "%s: %v\n", name, core.Errorf(core.Usage, "unexpected argument %q", rest[0]))
		return exitUsage, false
	}
	return exitOK, true
}
