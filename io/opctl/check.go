package opctl

import (
	"fmt"
	"io"
	"time"

	"verbenaway/core"
	"verbenaway/core/note"
	"verbenaway/core/snap"
)

var checkCommand = subcommand{
	name:    "check",
	help:    "Check a note, or a directory of notes, before it is published.",
	usage:   "[--checkpoint FILE] [--after DIRECTORY] FILE|DIRECTORY",
	example: "verbenactl check --after notes draft.toml",
	prepare: func() (any, runFunc) {
		options := &checkOptions{}
		return options, options.run
	},
}

// checkOptions are the options of check.
type checkOptions struct {
	Checkpoint string `long:"checkpoint" value-name:"FILE" description:"checkpoint that the notes continue"`
	After      string `long:"after" value-name:"DIRECTORY" description:"earlier notes that the notes continue"`
}

// run prints one line for each refused note. A single file without checkpoint and earlier
// notes is checked by itself, without the references to other resources.
func (o *checkOptions) run(args []string, out io.Writer) error {
	if len(args) != 1 {
		return core.Errorf(core.Usage, "check takes one file or directory, got %d", len(args))
	}
	files, err := readNotes(args[0])
	if err != nil {
		return err
	}
	check := checkRun{
		out:  out,
		full: snap.Empty(""),
	}
	if o.Checkpoint != "" {
		if check.full, err = readCheckpoint(o.Checkpoint); err != nil {
			return err
		}
	}
	if o.After != "" {
		earlier, err := readNotes(o.After)
		if err != nil {
			return err
		}
		check.continueWith(earlier)
	}
	if o.Checkpoint == "" && o.After == "" && files[0].number != 1 {
		check.alone(files)
	} else {
		check.continueWith(files)
	}
	return check.result()
}

// checkRun folds notes and counts faults.
type checkRun struct {
	out    io.Writer
	full   *core.Snapshot
	notes  int
	faults int
	// aloneOnly is true if notes were checked without the configuration they apply to.
	aloneOnly bool
}

func (c *checkRun) fault(path string, err error) {
	c.faults++
	_, _ = fmt.Fprintf(c.out, "%s: %v\n", path, err)
}

// continueWith folds the notes in order. Notes up to the current version are skipped, so that
// a checkpoint and a full directory of notes go together; a file whose name is no number
// takes the next one.
func (c *checkRun) continueWith(files []noteFile) {
	for _, file := range files {
		next := c.full.Version + 1
		number := file.number
		if number == 0 {
			number = next
		}
		if number < next {
			continue
		}
		c.notes++
		if number > next {
			c.fault(file.path, core.Errorf(core.NoteNumber, "note %d is missing before it", next))
			return
		}
		if err := snap.ValidateNote(c.full, number, file.data); err != nil {
			c.fault(file.path, err)
		}
		c.full, _ = snap.Fold(c.full, number, file.data, time.Time{})
	}
}

// alone checks notes by the grammar only.
func (c *checkRun) alone(files []noteFile) {
	c.aloneOnly = true
	for _, file := range files {
		c.notes++
		number := file.number
		if number == 0 {
			written, err := note.ParseVersion(file.data)
			if err != nil {
				c.fault(file.path, err)
				continue
			}
			number = written
		}
		if _, err := note.Parse(number, file.data); err != nil {
			c.fault(file.path, err)
		}
	}
}

func (c *checkRun) result() error {
	if c.faults > 0 {
		return errReported
	}
	if c.aloneOnly {
		_, _ = fmt.Fprintf(c.out, "ok: %d notes checked by themselves; --checkpoint or --after checks references too\n", c.notes)
		return nil
	}
	_, _ = fmt.Fprintf(c.out, "ok: %d notes checked, configuration at version %d with hash %s\n", c.notes, c.full.Version, c.full.Hash)
	return nil
}
