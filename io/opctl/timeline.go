package opctl

import (
	"io"
	"os"
	"time"

	"verbenaway/core"
	"verbenaway/core/events"
	"verbenaway/io/admin"
)

var timelineCommand = subcommand{
	name:    "timeline",
	help:    "Merge the events of all daemons into one timeline.",
	usage:   "--admin HOST:PORT [--since TIME|DURATION] [--kind KIND] [--host HOST] [--az ZONE] [--html FILE]",
	example: "verbenactl timeline --admin 10.0.0.1:7004 --since 10m --kind versionApplied",
	prepare: func() (any, runFunc) {
		options := &timelineOptions{}
		return options, options.run
	},
}

type timelineOptions struct {
	adminOptions
	Since string `long:"since" value-name:"TIME|DURATION" description:"only events since a time such as 2026-01-02T15:04:05Z, or within a duration before now"`
	Kind  string `long:"kind" value-name:"KIND" description:"only events of one kind; docs/reference.md lists them"`
	Host  string `long:"host" value-name:"HOST" description:"only events of one host"`
	AZ    string `long:"az" value-name:"ZONE" description:"only events of one availability zone"`
	HTML  string `long:"html" value-name:"FILE" description:"write a chart to an HTML file instead of printing lines"`
}

// run queries the daemons selected by --host and --az and prints their merged events.
func (o *timelineOptions) run(args []string, out io.Writer) error {
	if len(args) != 0 {
		return core.Errorf(core.Usage, "timeline takes no arguments, got %q", args[0])
	}
	since, err := o.parseSince(time.Now())
	if err != nil {
		return err
	}
	client := o.client()
	hosts, err := client.Hosts(o.Admin)
	if err != nil {
		return err
	}
	query := admin.Query{
		Kind: o.Kind,
	}
	if !since.IsZero() {
		query.Since = since.UTC().Format(time.RFC3339)
	}
	var lists [][]core.Event
	for _, answer := range client.Events(o.filterHosts(hosts), query) {
		if answer.Err != nil {
			writeMissing(out, answer.Host, answer.Err)
			continue
		}
		lists = append(lists, answer.Value)
	}
	// The query has a precision of 1 s; this filter is exact.
	return o.write(out, events.Merge(events.Filter{
		Since: since,
	}, lists...))
}

// parseSince returns the time given by --since, which is a time or a duration before now.
func (o *timelineOptions) parseSince(now time.Time) (time.Time, error) {
	if o.Since == "" {
		return time.Time{}, nil
	}
	if ago, err := time.ParseDuration(o.Since); err == nil {
		return now.Add(-ago), nil
	}
	parsed, err := time.Parse(time.RFC3339, o.Since)
	if err != nil {
		return time.Time{}, core.Errorf(core.Usage, "--since %q: must be a time such as 2026-01-02T15:04:05Z or a duration such as 10m", o.Since)
	}
	return parsed, nil
}

// filterHosts returns the hosts selected by --host and --az.
func (o *timelineOptions) filterHosts(hosts []core.Host) []core.Host {
	var selected []core.Host
	for _, host := range hosts {
		if (o.Host == "" || o.Host == string(host.Name)) && (o.AZ == "" || o.AZ == string(host.AvailabilityZone)) {
			selected = append(selected, host)
		}
	}
	return selected
}

// write prints the events, or writes them as a chart to the file given by --html.
func (o *timelineOptions) write(out io.Writer, timeline []core.Event) error {
	if o.HTML == "" {
		admin.WriteEvents(out, timeline)
		return nil
	}
	file, err := os.Create(o.HTML)
	if err != nil {
		return core.Errorf(core.Usage, "--html: %v", err)
	}
	if err = admin.WriteTimelineHTML(file, timeline); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
