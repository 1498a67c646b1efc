package shell

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"verbenaway/core"
)

// Parse fills in the options of a program without subcommands. If ok is false, the program must
// exit with the returned code; help or an error message has been printed.
func Parse(name, description string, options any, args []string, errOut io.Writer) (code int, ok bool) {
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		panic(err)
	}
	rest, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Fprintln(errOut, flagsErr.Message)
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
