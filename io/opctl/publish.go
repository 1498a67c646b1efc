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

type publishOptions struct {
	storeOptions
}

// run publishes one note. It is idempotent: if the same note is already published, run succeeds,
// so that an operator can repeat it after a lost answer.
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
	snapshot, err := store.loadSnapshot()
	if err != nil {
		return err
	}
	if number <= snapshot.Version {
		return reportExisting(store, out, snapshot, number, file.data)
	}
	if number > snapshot.Version+1 {
		return core.Errorf(core.NoteNumber, "version: %d: must be %d, the number that follows the newest note", number, snapshot.Version+1)
	}
	if err = snap.ValidateNote(snapshot, number, file.data); err != nil {
		return err
	}
	return publish(store, out, snapshot, number, file.data)
}

// publish creates the note in the store. If the key exists, the existing note is compared with
// this one. If the request fails, it is unknown whether the note was created.
func publish(store storeClient, out io.Writer, snapshot *core.Snapshot, number core.Version, data []byte) error {
	created, err := store.create(note.Key(number), data)
	switch {
	case err != nil:
		return core.Errorf(core.KindOf(err), "%v; the note may or may not be published, run publish again with the same file to find out", errorDetail(err))
	case created:
		_, _ = fmt.Fprintf(out, "published version %d\n", number)
		return nil
	}
	return reportExisting(store, out, snapshot, number, data)
}

// errorDetail returns the text of an error without its kind.
func errorDetail(err error) string {
	var coreErr *core.Error
	if errors.As(err, &coreErr) {
		return coreErr.Detail
	}
	return err.Error()
}

// reportExisting handles a number in use: it succeeds if the published note is identical and was
// accepted, and otherwise returns an error with advice.
func reportExisting(store storeClient, out io.Writer, snapshot *core.Snapshot, number core.Version, data []byte) error {
	existing, found, err := store.value(note.Key(number))
	if err != nil {
		return err
	}
	if !found {
		return core.Errorf(core.StoreStale, "version %d is in use, but its note is missing in the store", number)
	}
	if bytes.Equal(existing, data) {
		if i := slices.IndexFunc(snapshot.Refused, func(r core.RefusedNote) bool {
			return r.Version == number
		}); i >= 0 {
			return core.Errorf(snapshot.Refused[i].Kind, "version %d is published with the same contents and was refused: %s", number, snapshot.Refused[i].Reason)
		}
		_, _ = fmt.Fprintf(out, "version %d is already published with the same contents\n", number)
		return nil
	}
	if number > snapshot.Version {
		if snapshot, err = store.loadSnapshot(); err != nil {
			return err
		}
	}
	return core.Errorf(core.NoteConflict, "another operator published version %d first (%s); %s",
		number, describeNote(number, existing), renumberAdvice(snapshot, data))
}

// describeNote summarizes the comment and the resources of a published note.
func describeNote(number core.Version, existing []byte) string {
	parsed, err := note.Parse(number, existing)
	if err != nil {
		return "a note that was refused"
	}
	touched := snap.ResourceKeys(parsed)
	const maxListed = 5
	if len(touched) > maxListed {
		touched = append(touched[:maxListed], fmt.Sprintf("and %d more", len(touched)-maxListed))
	}
	return fmt.Sprintf("comment %q, touches %s", parsed.Comment, strings.Join(touched, ", "))
}

// renumberAdvice says how to publish a note whose number is in use. It validates the note under the
// next free number against the newest configuration.
func renumberAdvice(snapshot *core.Snapshot, data []byte) string {
	number, err := note.ParseVersion(data)
	if err != nil {
		return err.Error()
	}
	parsed, err := note.Parse(number, data)
	if err != nil {
		return err.Error()
	}
	parsed.Version = snapshot.Version + 1
	renumbered, err := toml.Marshal(parsed)
	if err != nil {
		return err.Error()
	}
	if err = snap.ValidateNote(snapshot, parsed.Version, renumbered); err != nil {
		return fmt.Sprintf("under number %d yours would be refused (%v): read the newer notes, write yours against version %d, set version = %d and publish it",
			parsed.Version, err, snapshot.Version, parsed.Version)
	}
	return fmt.Sprintf("yours does not conflict with it: set version = %d and publish it", parsed.Version)
}
