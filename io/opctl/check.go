package opctl

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"verbenaway/core"
	"verbenaway/core/lint"
	"verbenaway/core/note"
	"verbenaway/core/snap"
)

var checkCommand = subcommand{
	name:    "check",
	help:    "Check a note, or a directory of notes, before it is published.",
	usage:   "[--checkpoint FILE] [--after DIRECTORY] [--changes] [--json] FILE|DIRECTORY",
	example: "verbenactl check --after notes draft.toml",
	prepare: func() (any, runFunc) {
		options := &checkOptions{}
		return options, options.run
	},
}

type checkOptions struct {
	Checkpoint string `long:"checkpoint" value-name:"FILE" description:"checkpoint to which the notes are applied"`
	After      string `long:"after" value-name:"DIRECTORY" description:"directory of earlier notes, applied before the checked ones"`
	Changes    bool   `long:"changes" description:"list what differs from the configuration before the checked notes"`
	JSON       bool   `long:"json" description:"print the result as JSON, with the changes"`
}

// run prints one line for each invalid note and for each finding in the resulting configuration.
// References to other resources are not checked without a checkpoint, earlier notes or a first file
// named as note 1.
func (o *checkOptions) run(args []string, out io.Writer) error {
	if len(args) != 1 {
		return core.Errorf(core.Usage, "check takes one file or directory, got %d", len(args))
	}
	files, err := readNotes(args[0])
	if err != nil {
		return err
	}
	check := checker{
		snapshot: snap.Empty(""),
	}
	if o.Checkpoint != "" {
		if check.snapshot, err = readCheckpoint(o.Checkpoint); err != nil {
			return err
		}
	}
	if o.After != "" {
		earlier, err := readNotes(o.After)
		if err != nil {
			return err
		}
		check.applyNotes(earlier)
	}
	before := check.snapshot
	if o.Checkpoint == "" && o.After == "" && files[0].number != 1 {
		check.checkStandalone(files)
	} else {
		check.applyNotes(files)
		check.report.Findings = lint.Check(check.snapshot)
		if o.Changes || o.JSON {
			check.report.Changes = lint.Compare(before, check.snapshot)
		}
	}
	if o.JSON {
		return check.writeJSON(out)
	}
	return check.writeText(out)
}

// checker checks notes in order and collects the reasons why some are invalid.
type checker struct {
	snapshot *core.Snapshot
	checked  int
	report   lint.Report
	// isStandalone is true if notes are checked without the configuration that they apply to.
	isStandalone bool
}

func (c *checker) reportInvalid(path string, err error) {
	c.report.Errors = append(c.report.Errors, fmt.Sprintf("%s: %v", path, err))
}

// applyNotes validates the notes and applies them in order. Notes up to the current version are
// skipped, so that a checkpoint can be combined with a directory of all notes. A file without a
// number in its name gets the next number. A gap in the numbers ends the check.
func (c *checker) applyNotes(files []noteFile) {
	for _, file := range files {
		next := c.snapshot.Version + 1
		number := file.number
		if number == 0 {
			number = next
		}
		if number < next {
			continue
		}
		c.checked++
		if number > next {
			c.reportInvalid(file.path, core.Errorf(core.NoteNumber, "note %d is missing before it", next))
			return
		}
		if err := snap.ValidateNote(c.snapshot, number, file.data); err != nil {
			c.reportInvalid(file.path, err)
		}
		c.snapshot, _ = snap.Fold(c.snapshot, number, file.data, time.Time{})
	}
}

// checkStandalone checks the syntax and the fields of notes, but no references.
func (c *checker) checkStandalone(files []noteFile) {
	c.isStandalone = true
	for _, file := range files {
		c.checked++
		number := file.number
		if number == 0 {
			parsed, err := note.ParseVersion(file.data)
			if err != nil {
				c.reportInvalid(file.path, err)
				continue
			}
			number = parsed
		}
		if _, err := note.Parse(number, file.data); err != nil {
			c.reportInvalid(file.path, err)
		}
	}
}

func (c *checker) writeText(out io.Writer) error {
	_, _ = io.WriteString(out, c.report.Text())
	if !c.report.IsOK() {
		return errReported
	}
	if c.isStandalone {
		_, _ = fmt.Fprintf(out, "ok: %d notes checked by themselves; use --checkpoint or --after to check references too\n", c.checked)
		return nil
	}
	_, _ = fmt.Fprintf(out, "ok: %d notes checked, configuration at version %d with hash %s\n", c.checked, c.snapshot.Version, c.snapshot.Hash)
	return nil
}

// checkResult is the output of check --json.
type checkResult struct {
	// IsOK is true if the exit code is 0.
	IsOK bool `json:"isOk"`
	// Checked is the number of notes.
	Checked int `json:"checked"`
	// IsStandalone is true if references were not checked; Version and Hash are then unset.
	IsStandalone bool         `json:"isStandalone"`
	Version      core.Version `json:"version,omitempty"`
	Hash         *core.Hash   `json:"hash,omitempty"`
	lint.Report
}

func (c *checker) writeJSON(out io.Writer) error {
	result := checkResult{
		IsOK:         c.report.IsOK(),
		Checked:      c.checked,
		IsStandalone: c.isStandalone,
		Report:       c.report,
	}
	if !c.isStandalone {
		result.Version = c.snapshot.Version
		result.Hash = &c.snapshot.Hash
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(result); err != nil {
		return err
	}
	if !result.IsOK {
		return errReported
	}
	return nil
}
