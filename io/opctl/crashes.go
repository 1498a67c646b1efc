package opctl

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"verbenaway/core"
)

var crashesCommand = subcommand{
	name:    "crashes",
	help:    "Show from log files which requests were lost with upstreams that ended, and which of them are quarantined.",
	usage:   "FILE...",
	example: "verbenactl crashes logs/*.log",
	prepare: func() (any, runFunc) {
		options := &crashesOptions{}
		return options, options.run
	},
}

type crashesOptions struct{}

// lostRequests are the lines about requests with one fingerprint.
type lostRequests struct {
	fingerprint string
	route       string
	service     string
	// processes are those that ended while they ran such a request.
	processes map[string]bool
	// request is the id of the first one, for the trace subcommand.
	request string
	// first and last are the timestamps of the first and the last loss.
	first         string
	last          string
	isQuarantined bool
}

// run prints a line for each fingerprint, the one with the most processes first.
func (o *crashesOptions) run(args []string, out io.Writer) error {
	if len(args) == 0 {
		return core.Errorf(core.Usage, "crashes takes at least one file")
	}
	known := map[string]*lostRequests{}
	for _, path := range args {
		lines, _, err := readLog(path, func(line *logLine) bool {
			return line.value("fingerprint") != "" || line.message == string(core.EventRequestQuarantined)
		})
		if err != nil {
			return err
		}
		for i := range lines {
			addLoss(known, &lines[i])
		}
	}
	var all []*lostRequests
	for _, lost := range known {
		all = append(all, lost)
	}
	slices.SortFunc(all, func(a, b *lostRequests) int {
		return cmp.Or(-cmp.Compare(len(a.processes), len(b.processes)), cmp.Compare(a.first, b.first), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	return writeLosses(out, all)
}

// addLoss adds a line to those with the same fingerprint.
func addLoss(known map[string]*lostRequests, line *logLine) {
	fingerprint := cmp.Or(line.value("fingerprint"), line.value("subject"))
	lost := known[fingerprint]
	if lost == nil {
		lost = &lostRequests{
			fingerprint: fingerprint,
			processes:   map[string]bool{},
		}
		known[fingerprint] = lost
	}
	if line.message == string(core.EventRequestQuarantined) {
		lost.isQuarantined = true
		return
	}
	lost.processes[line.value("instance")] = true
	if lost.first == "" || line.timestamp < lost.first {
		lost.first, lost.request = line.timestamp, line.request
		lost.route, lost.service = line.value("route"), line.value("service")
	}
	lost.last = max(lost.last, line.timestamp)
}

func writeLosses(out io.Writer, all []*lostRequests) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "fingerprint\tprocesses\tquarantined\troute\tservice\tfirst\tlast\trequest")
	for _, lost := range all {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%t\t%s\t%s\t%s\t%s\t%s\n",
			lost.fingerprint, len(lost.processes), lost.isQuarantined, lost.route, lost.service, lost.first, lost.last, lost.request)
	}
	return table.Flush()
}
