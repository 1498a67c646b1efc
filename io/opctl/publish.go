package opctl

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"verbenaway/core"
	"verbenaway/core/note"
	"verbenaway/core/snap"
)

var publishCommand = subcommand{
	name:    "publish",
	help:    "Check a note against the store and publish it under the next number.",
	usage:   "--store URL FILE",
	example: "verbenactl publish --store http://127.0.0.1:7000 draft.toml",
	prepare: func() (any, runFunc) {
		options := &publishOptions{}
		return options, options.run
	},
}

// publishOptions are the options of publish.
type publishOptions struct {
	storeOptions
}

// run publishes one note. A second run with the same file finds the note published and
// succeeds, so that an operator can repeat it after a lost answer.
func (o *publishOptions) run(args []string, out io.Writer) error {
	if len(args) != 1 {
		return core.Errorf(core.Usage, "publish takes one file, got %d", len(args))
	}
	file, err := readNote(args[0])
	if err != nil {
		return err
	}
	number, err := note.ParseVersion(file.data)
	if err != nil {
		return err
	}
	if number == 0 || number > note.MaxVersion {
		return core.Errorf(core.NoteNumber, "version: %d: must be from 1 to %d", number, note.MaxVersion)
	}
	store := newStoreClient(o.storeOptions)
	full, err := store.fold()
	if err != nil {
		return err
	}
	if number <= full.Version {
		return taken(store, out, full, number, file.data)
	}
	if number > full.Version+1 {
		return core.Errorf(core.NoteNumber, "version: %d: must be %d, the number after the newest note", number, full.Version+1)
	}
	if err = snap.ValidateNote(full, number, file.data); err != nil {
		return err
	}
	return publish(store, out, full, number, file.data)
}

// publish creates the note. A lost answer leaves open whether it was created, which is then
// read back.
func publish(store storeClient, out io.Writer, full *core.Snapshot, number core.Version, data []byte) error {
	created, err := store.create(note.Key(number), data)
	switch {
	case err != nil:
		return core.Errorf(core.KindOf(err), "%v; the note may or may not be published, run publish again with the same file", bareError(err))
	case created:
		_, _ = fmt.Fprintf(out, "published version %d\n", number)
		return nil
	}
	return taken(store, out, full, number, data)
}

// bareError returns the detail of an error without its kind.
func bareError(err error) string {
	var known *core.Error
	if errors.As(err, &known) {
		return known.Detail
	}
	return err.Error()
}

// taken reports that a number is in use: by this very note, or by another operator who was
// first.
func taken(store storeClient, out io.Writer, full *core.Snapshot, number core.Version, data []byte) error {
	winner, found, err := store.value(note.Key(number))
	if err != nil {
		return err
	}
	if !found {
		return core.Errorf(core.StoreStale, "note %d exists and cannot be read", number)
	}
	if bytes.Equal(winner, data) {
		if i := slices.IndexFunc(full.Refused, func(r core.RefusedNote) bool {
			return r.Version == number
		}); i >= 0 {
			return core.Errorf(full.Refused[i].Kind, "version %d is published with the same contents and was refused: %s", number, full.Refused[i].Reason)
		}
		_, _ = fmt.Fprintf(out, "version %d is already published with the same contents\n", number)
		return nil
	}
	if number > full.Version {
		if full, err = store.fold(); err != nil {
			return err
		}
	}
	return core.Errorf(core.NoteConflict, "another operator published version %d first (%s); %s",
		number, describe(number, winner), advise(full, data))
}

// describe says what the winning note is about.
func describe(number core.Version, winner []byte) string {
	parsed, err := note.Parse(number, winner)
	if err != nil {
		return "a note that was refused"
	}
	touched := snap.ResourceKeys(parsed)
	const shown = 5
	if len(touched) > shown {
		touched = append(touched[:shown], fmt.Sprintf("and %d more", len(touched)-shown))
	}
	return fmt.Sprintf("comment %q, touches %s", parsed.Comment, strings.Join(touched, ", "))
}

// advise says how the losing note can still be published. The advice comes from a trial fold
// of the note under the next number.
func advise(full *core.Snapshot, data []byte) string {
	number, err := note.ParseVersion(data)
	if err != nil {
		return err.Error()
	}
	parsed, err := note.Parse(number, data)
	if err != nil {
		return err.Error()
	}
	parsed.Version = full.Version + 1
	renumbered, err := toml.Marshal(parsed)
	if err != nil {
		return err.Error()
	}
	if err = snap.ValidateNote(full, parsed.Version, renumbered); err != nil {
		return fmt.Sprintf("under number %d yours would be refused (%v): read the newer notes, write yours against version %d, set version = %d and publish it",
			parsed.Version, err, full.Version, parsed.Version)
	}
	return fmt.Sprintf("yours does not conflict with it: set version = %d and publish it", parsed.Version)
}
