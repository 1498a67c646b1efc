// Package snap folds release notes into immutable snapshots of the configuration, splits
// each note into parts by home regions, and verifies the hash chain on the receiving side.
//
// A store reader folds whole notes (Fold) and sends each region its slice (Restrict); a
// daemon applies slices to the snapshot of its region (Apply). Both produce the same
// snapshot: applying the restricted slices gives what ForRegion returns for the full snapshot.
// No function modifies its arguments; snapshots share the maps and lists that did not change.
package snap
