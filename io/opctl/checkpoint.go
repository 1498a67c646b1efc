package opctl

import (
	"fmt"
	"io"

	"verbenaway/core"
	"verbenaway/core/note"
	"verbenaway/core/snap"
)

var checkpointCommand = subcommand{
	name:    "checkpoint",
	help:    "Combine the checkpoint and the later notes of the store into a new checkpoint; print or publish it.",
	usage:   "--store URL [--publish]",
	example: "verbenactl checkpoint --store http://127.0.0.1:7000 --publish",
	prepare: func() (any, runFunc) {
		options := &checkpointOptions{}
		return options, options.run
	},
}

type checkpointOptions struct {
	storeOptions
	Publish bool `long:"publish" description:"write the checkpoint to the store instead of printing it"`
}

// run creates a checkpoint of the newest configuration and prints or publishes it. Concurrent
// runs are safe: each writes a valid checkpoint, and an older one only makes readers apply more
// notes.
func (o *checkpointOptions) run(args []string, out io.Writer) error {
	if len(args) != 0 {
		return core.Errorf(core.Usage, "checkpoint takes no arguments, got %d", len(args))
	}
	store := newStoreClient(o.storeOptions)
	snapshot, err := store.loadSnapshot()
	if err != nil {
		return err
	}
	encoded, err := note.EncodeCheckpoint(snap.ToCheckpoint(snapshot))
	if err != nil {
		return err
	}
	if !o.Publish {
		_, err = out.Write(encoded)
		return err
	}
	if err = store.replace(note.CheckpointKey, encoded); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "published checkpoint of version %d with hash %s\n", snapshot.Version, snapshot.Hash)
	return nil
}
