// Command reference generates docs/reference.md from the tables in the code: subcommands, error
// kinds, event kinds, decisions on requests, settings and metrics.
package main

//go:generate go run verbenaway/tools/reference ../../docs/reference.md
