// Package opctl implements verbenactl, the command-line client for operators, with one file for
// each subcommand. Operators use it to check and publish notes, write checkpoints and inspect
// daemons. It is the only part of verbenaway that writes to the store.
package opctl
