package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/jessevdk/go-flags"
)

// The exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

type options struct {
	Case    string `long:"case" required:"true" description:"name of the case"`
	Folder  string `long:"folder" required:"true" description:"folder that gets record.txt"`
	Program string `long:"program" default:"target/verbenaside" description:"the daemon"`
	Trouble bool   `long:"trouble" description:"inject the disruption"`
	Keep    bool   `long:"keep" description:"keep the settings and logs of the daemons"`
	Seed    uint64 `long:"seed" default:"1" description:"seed of the stand-ins"`
}

// verdict is the result of a case.
type verdict struct {
	// broken lists what broke the rule.
	broken []string
	// summary counts what was sent, answered and run.
	summary string
}

// cases holds the function of each case.
var cases = map[string]func(*fleet, options) (verdict, error){}

func main() {
	os.Exit(run())
}

func run() int {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		return exitCannotRun
	}
	play := cases[opts.Case]
	if play == nil {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", opts.Case)
		return exitCannotRun
	}
	record, err := newRecord(filepath.Join(opts.Folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer record.close()
	result, err := playCase(play, opts, record)
	if err != nil {
		record.add("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	record.add("%s", result.summary)
	for _, text := range result.broken {
		record.add("BROKEN %s", text)
	}
	fmt.Println(result.summary)
	if len(result.broken) > 0 {
		fmt.Printf("broken %d times, the first: %s\n", len(result.broken), result.broken[0])
		return exitBroken
	}
	return exitHeld
}

func playCase(play func(*fleet, options) (verdict, error), opts options, record *record) (verdict, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return verdict{}, err
	}
	if opts.Keep {
		fmt.Println("settings and logs are in", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	f, err := newFleet(opts.Program, dir, record)
	if err != nil {
		return verdict{}, err
	}
	defer f.close()
	return play(f, opts)
}
