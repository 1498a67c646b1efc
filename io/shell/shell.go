// Package shell parses the command lines of programs. A program with subcommands lists them in a
// table, from which the parser and the help are built; the error of a subcommand becomes a log
// line and an exit code.
package shell

import (
	"errors"
	"fmt"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/jessevdk/go-flags"
)

// Exit codes of Run and Parse.
const (
	exitOK = iota
	exitFailure
	exitUsage
)

// ErrReported is returned by a subcommand that has already reported the fault.
var ErrReported = errors.New("the fault was reported")

// Subcommand describes a subcommand of a program.
type Subcommand struct {
	Name string
	// Short is a one-line description.
	Short string
	// Command holds the options as fields that go-flags fills in before it calls Execute.
	Command flags.Commander
}

// Program describes the command line of a program with subcommands.
type Program struct {
	Name        string
	Short       string
	Description string
	Subcommands []Subcommand
}

// Run parses the arguments, which exclude the program name, runs the subcommand and returns the
// exit code: 0 for success, 1 for a failure, 2 for an invalid command line.
func (p Program) Run(args []string) int {
	log.SetHandler(logfmt.New(os.Stderr))
	parser := flags.NewNamedParser(p.Name, flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = p.Short
	parser.LongDescription = p.Description
	for _, subcommand := range p.Subcommands {
		if _, err := parser.AddCommand(subcommand.Name, subcommand.Short, "", subcommand.Command); err != nil {
			panic(err)
		}
	}
	_, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(flagsErr.Message)
		return exitOK
	case errors.As(err, &flagsErr):
		fmt.Fprintln(os.Stderr, flagsErr.Message)
		return exitUsage
	case errors.Is(err, ErrReported):
		return exitFailure
	default:
		log.WithError(err).Error("failed")
		return exitFailure
	}
}
