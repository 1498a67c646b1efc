// Package conf reads the TOML settings of the daemon. settings.go has the structs, table.go
// the table of all settings, from which the checks and the reference page are derived.
package conf
