// Package note defines the TOML format of release notes and checkpoints: parsing, validation
// of single fields and sorting of lists. It does not depend on the configuration that a note
// applies to; package snap checks a note against that configuration.
package note
