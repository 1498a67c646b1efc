package main

import (
	"fmt"
	"os"
	"strings"

	"verbenaway/core"
	"verbenaway/core/lint"
	"verbenaway/io/conf"
	"verbenaway/io/daemon"
	"verbenaway/io/opctl"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: reference FILE")
		os.Exit(2)
	}
	if err := os.WriteFile(os.Args[1], []byte(page()), 0o644); err != nil {
		fmt.Fprintf(os.Stderr, "reference: %v\n", err)
		os.Exit(1)
	}
}

// page returns the reference page in Markdown.
func page() string {
	sections := []struct {
		title string
		body  string
	}{
		{title: "Subcommands of verbenactl", body: opctl.Reference()},
		{title: "Rules of verbenactl check", body: checkRules()},
		{title: "Error kinds", body: errorKinds()},
		{title: "Event kinds", body: eventKinds()},
		{title: "Decisions on requests", body: decisionKinds()},
		{title: "Settings of verbenad", body: settings()},
		{title: "Metrics", body: "Each daemon serves its metrics as JSON under `/debug/vars` on its admin address.\n\n" + daemon.MetricsReference()},
	}
	var text strings.Builder
	text.WriteString("# Reference\n\nGenerated from the tables in the code by `go generate ./...`; do not edit.\n")
	for _, section := range sections {
		fmt.Fprintf(&text, "\n## %s\n\n%s", section.title, section.body)
	}
	return text.String()
}

func checkRules() string {
	var text strings.Builder
	text.WriteString("A configuration with a finding of severity `error` does not pass the check; a `warning` is only printed.\n\n")
	text.WriteString("| rule | severity | meaning | action |\n| --- | --- | --- | --- |\n")
	for _, rule := range lint.Rules {
		fmt.Fprintf(&text, "| `%s` | %s | %s | %s |\n", rule.Name, rule.Severity, rule.Meaning, rule.Action)
	}
	return text.String()
}

// errorKinds returns the table of error kinds. Each row has an anchor with the name of the kind,
// so that other pages can link to it.
func errorKinds() string {
	var text strings.Builder
	text.WriteString("Callers receive the kind in the header `Verbenaway-Error`. A kind without a status is never sent to callers. " +
		"\"Not run\" means that no upstream can have run the request. " +
		"\"Retry\" means that the request may succeed on another daemon or later.\n\n")
	text.WriteString("| kind | HTTP status | not run | retry | meaning | action |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, info := range core.ErrorKinds {
		status, notRun, retry := "", "", ""
		if info.Status != 0 {
			status, notRun, retry = fmt.Sprint(info.Status), yesOrNo(info.NotRun), yesOrNo(info.Retry)
		}
		fmt.Fprintf(&text, "| <a id=\"%s\"></a>`%s` | %s | %s | %s | %s | %s |\n",
			info.Kind, info.Kind, status, notRun, retry, info.Meaning, info.Action)
	}
	return text.String()
}

func eventKinds() string {
	var text strings.Builder
	text.WriteString("| event | meaning |\n| --- | --- |\n")
	for _, info := range core.EventKinds {
		fmt.Fprintf(&text, "| `%s` | %s |\n", info.Kind, info.Meaning)
	}
	return text.String()
}

func decisionKinds() string {
	var text strings.Builder
	text.WriteString("Log lines of a daemon on the users' platform. Each contains the id of the request, the data that the decision is based on and the outcome.\n\n")
	text.WriteString("| message | meaning |\n| --- | --- |\n")
	for _, info := range core.DecisionKinds {
		fmt.Fprintf(&text, "| `%s` | %s |\n", info.Kind, info.Meaning)
	}
	return text.String()
}

func settings() string {
	return "A key with a dot belongs to a TOML table: `listen.caller` is the key `caller` under `[listen]`. " +
		"`verbenad --check --settings FILE` validates a file.\n\n" + conf.Reference()
}

func yesOrNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
