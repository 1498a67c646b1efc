package snap

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"time"

	"verbenaway/core"
	"verbenaway/core/note"
)

// Fold applies a note to a full snapshot; version must be full.Version + 1. It never fails: a
// refused note uses up its version and changes only Version, Hash and Refused. The slice holds
// the contents of all parts; Restrict removes those that a region may not see. The reason of a
// refusal is sent to all regions and contains no resource names; the error of ValidateNote does.
func Fold(full *core.Snapshot, version core.Version, data []byte, received time.Time) (*core.Snapshot, core.Slice) {
	slice := core.Slice{
		Version:      version,
		PreviousHash: full.Hash,
		Received:     received,
	}
	next, changed, err := evaluate(full, version, data)
	if err != nil {
		slice.Verdict, slice.Reason = refusalOf(err)
		slice.Hash = chainHash(slice)
		return withRefusal(full, slice), slice
	}
	slice.Parts = splitParts(full, next, changed)
	slice.Hash = chainHash(slice)
	next.Hash = slice.Hash
	return next, slice
}

// ValidateNote returns the reason for which Fold would refuse a note as an error of type
// *note.Error, which includes the invalid value, or nil if Fold would accept the note.
func ValidateNote(full *core.Snapshot, version core.Version, data []byte) error {
	_, _, err := evaluate(full, version, data)
	return err
}

// refusalOf returns the verdict and the reason for a note that failed with err.
func refusalOf(err error) (core.ErrorKind, string) {
	var noteErr *note.Error
	if errors.As(err, &noteErr) {
		return noteErr.Kind, noteErr.Reason()
	}
	return core.KindOf(err), ""
}

// evaluate returns the snapshot after an accepted note, without its hash, and the keys of the
// resources that changed.
func evaluate(full *core.Snapshot, version core.Version, data []byte) (*core.Snapshot, []key, error) {
	parsed, err := note.Parse(version, data)
	if err != nil {
		return nil, nil, err
	}
	operations := operationsOf(parsed)
	if refusal := checkOperations(full, parsed, operations); refusal != nil {
		return nil, nil, refusal
	}
	next := clone(full)
	next.Version = version
	put(next, parsed.Add)
	put(next, parsed.Change)
	drop(next, parsed.Withdraw)
	for _, zone := range parsed.TakeOut {
		next.Out[zone] = true
	}
	for _, zone := range parsed.BringBack {
		delete(next.Out, zone)
	}
	if found := validate(next); found != nil {
		return nil, nil, found.noteError(full, operations)
	}
	changed := changedKeys(full, next, operations)
	for _, k := range changed {
		next.Changed[k.String()] = version
	}
	pruneChanged(next)
	if refusal := checkSize(full, next); refusal != nil {
		return nil, nil, refusal
	}
	return next, changed, nil
}

// action is what a note does to a resource, named as in the note.
type action string

const (
	actionAdd       action = "add"
	actionChange    action = "change"
	actionWithdraw  action = "withdraw"
	actionTakeOut   action = "takeOut"
	actionBringBack action = "bringBack"
)

// operation is the action of a note on one resource.
type operation struct {
	key    key
	action action
	// path is the position in the note, such as "change.route[2]".
	path string
}

// ResourceKeys lists the resources that a note operates on as "kind/name", in its order.
func ResourceKeys(parsed core.Note) []string {
	var keys []string
	for _, op := range operationsOf(parsed) {
		keys = append(keys, op.key.String())
	}
	return keys
}

func operationsOf(parsed core.Note) []operation {
	var operations []operation
	operations = appendOperations(operations, actionAdd, keysOf(parsed.Add))
	operations = appendOperations(operations, actionChange, keysOf(parsed.Change))
	operations = appendOperations(operations, actionWithdraw, keysOfNames(parsed.Withdraw))
	operations = appendZoneOperations(operations, actionTakeOut, parsed.TakeOut)
	return appendZoneOperations(operations, actionBringBack, parsed.BringBack)
}

func appendOperations(operations []operation, a action, keys []key) []operation {
	counts := map[kind]int{}
	for _, k := range keys {
		operations = append(operations, operation{
			key:    k,
			action: a,
			path:   fmt.Sprintf("%s.%s[%d]", a, k.kind, counts[k.kind]),
		})
		counts[k.kind]++
	}
	return operations
}

func appendZoneOperations(operations []operation, a action, zones []core.AvailabilityZone) []operation {
	for i, zone := range zones {
		operations = append(operations, operation{
			key:    key{kindZone, string(zone)},
			action: a,
			path:   fmt.Sprintf("%s[%d]", a, i),
		})
	}
	return operations
}

// checkOperations refuses a note that was written against an older state of a resource, adds an
// existing resource, or changes or withdraws a missing one. Conflicts are checked first, so that
// an operator who lost a race is told of the conflict, not of a consequence.
func checkOperations(full *core.Snapshot, parsed core.Note, operations []operation) *note.Error {
	for _, op := range operations {
		changed, known := full.Changed[op.key.String()]
		if changed > parsed.Against {
			return op.noteError(core.NoteConflict, fmt.Sprintf("was changed in version %d, after version %d that the note is written against", changed, parsed.Against))
		}
		// The tombstone of a withdrawal after Against may have been pruned.
		if !known && op.action == actionAdd && parsed.Against+tombstoneVersions < parsed.Version {
			return op.noteError(core.NoteConflict, fmt.Sprintf("may have been withdrawn after version %d; an add must be written against one of the last %d versions", parsed.Against, tombstoneVersions))
		}
	}
	for _, op := range operations {
		_, exists := find(full, op.key)
		if op.key.kind == kindZone && !exists {
			exists = listsZone(parsed, core.AvailabilityZone(op.key.name))
		}
		switch {
		case op.action == actionAdd && exists:
			return op.noteError(core.NoteExists, "exists already; use change instead of add")
		case op.action != actionAdd && !exists:
			return op.noteError(core.NoteMissing, "does not exist")
		}
	}
	return nil
}

// listsZone reports whether a note adds or changes a region that has the availability zone.
func listsZone(parsed core.Note, zone core.AvailabilityZone) bool {
	for _, spec := range slices.Concat(parsed.Add.Regions, parsed.Change.Regions) {
		if slices.Contains(spec.AvailabilityZones, zone) {
			return true
		}
	}
	return false
}

func (op operation) noteError(kind core.ErrorKind, requirement string) *note.Error {
	return &note.Error{
		Kind:        kind,
		Path:        op.path,
		Value:       strconv.Quote(op.key.name),
		Requirement: requirement,
	}
}

// changedKeys returns the sorted keys of the resources in operations whose spec or home regions
// differ between two snapshots, and of limits that moved with their route or tenant.
func changedKeys(before, after *core.Snapshot, operations []operation) []key {
	candidates := make(map[key]bool, len(operations))
	for _, op := range operations {
		candidates[op.key] = true
	}
	for name, spec := range after.Limits {
		if candidates[key{kindRoute, string(spec.Route)}] || candidates[key{kindTenant, string(spec.Tenant)}] {
			candidates[key{kindLimit, name}] = true
		}
	}
	var changed []key
	for k := range candidates {
		old, had := find(before, k)
		now, has := find(after, k)
		if had != has || !slices.Equal(old.homeRegions, now.homeRegions) || !reflect.DeepEqual(old.spec, now.spec) {
			changed = append(changed, k)
		}
	}
	slices.SortFunc(changed, compareKeys)
	return changed
}
