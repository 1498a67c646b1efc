package opctl

import (
	"fmt"
	"strings"
)

// exitCodes describes the exit codes of Main, indexed by code.
var exitCodes = []string{
	exitOK:      "The subcommand succeeded and found no fault.",
	exitFailure: "The subcommand failed or found a fault, such as a refused note or an unresponsive daemon.",
	exitUsage:   "The command line is invalid.",
}

// Reference returns the tables of subcommands and exit codes in Markdown for the reference
// page.
func Reference() string {
	var page strings.Builder
	page.WriteString("| subcommand | meaning | usage | example |\n| --- | --- | --- | --- |\n")
	for _, s := range subcommands() {
		// An unescaped bar would start another cell.
		usage := strings.ReplaceAll(s.usage, "|", `\|`)
		fmt.Fprintf(&page, "| `%s` | %s | `%s` | `%s` |\n", s.name, s.help, usage, s.example)
	}
	page.WriteString("\n| exit code | meaning |\n| --- | --- |\n")
	for code, meaning := range exitCodes {
		fmt.Fprintf(&page, "| %d | %s |\n", code, meaning)
	}
	return page.String()
}
