package daemon

import (
	"expvar"
	"fmt"
	"strings"
	"sync/atomic"

	"verbenaway/io/peer"
	"verbenaway/io/proxy"
)

// metric is one row of the table of metrics.
type metric struct {
	Name    string
	Meaning string
	Value   expvar.Var
}

// metricTable lists all metrics; the reference page is generated from it.
func metricTable(entry *proxy.EntryCounters, gate *proxy.GateCounters, traffic *peer.Traffic) []metric {
	return []metric{
		{Name: "entryRequests", Meaning: "Requests that callers sent.", Value: &entry.Requests},
		{Name: "entryAttempts", Meaning: "Requests sent on to a gatekeeper, further attempts included.", Value: &entry.Attempts},
		{Name: "entryLocalAttempts", Meaning: "Attempts that stayed in the process.", Value: &entry.LocalAttempts},
		{Name: "entryAnswers", Meaning: "Complete answers given to callers.", Value: &entry.Answers},
		{Name: "entryAborted", Meaning: "Answers that were aborted.", Value: &entry.Aborted},
		{Name: "entryOtherRegionBytes", Meaning: "Bytes of requests sent to other regions.", Value: &entry.OtherRegionBytes},
		{Name: "entryOtherZoneTraffic", Meaning: "Bytes of requests and answers exchanged with other availability zones of the region, by route.", Value: entry.OtherZoneTraffic},
		{Name: "entryOtherRegionTraffic", Meaning: "Bytes of requests and answers exchanged with other regions, by route.", Value: entry.OtherRegionTraffic},
		{Name: "entryRefusals", Meaning: "Refusals to callers by error kind.", Value: entry.Refusals},
		{Name: "entryProbes", Meaning: "Probes of hosts that seemed unresponsive.", Value: &entry.Probes},
		{Name: "gateRequests", Meaning: "Requests that reached the gatekeeper.", Value: &gate.Requests},
		{Name: "gateAdmitted", Meaning: "Requests that got a slot.", Value: &gate.Admitted},
		{Name: "gateAnswered", Meaning: "Complete answers of the upstream.", Value: &gate.Answered},
		{Name: "gateAborted", Meaning: "Answers of the upstream that were aborted.", Value: &gate.Aborted},
		{Name: "gateJoined", Meaning: "Duplicates that got the answer of another request.", Value: &gate.Joined},
		{Name: "gateDelegated", Meaning: "Requests with a claimed idempotency key that another upstream was asked to run.", Value: &gate.Delegated},
		{Name: "gateReplayed", Meaning: "Idempotent requests that net/http sent again on a new connection.", Value: &gate.Replayed},
		{Name: "gateProbes", Meaning: "Probes of entries.", Value: &gate.Probes},
		{Name: "gateRefused", Meaning: "Refusals of the gatekeeper by error kind.", Value: &gate.Refused},
		{Name: "controlBytesReceived", Meaning: "Bytes received in control messages.", Value: counter(&traffic.Received)},
		{Name: "controlBytesSent", Meaning: "Bytes sent in control messages.", Value: counter(&traffic.Sent)},
		{Name: "controlConnections", Meaning: "Connections opened for control messages, in either direction.", Value: counter(&traffic.Connections)},
	}
}

func counter(value *atomic.Int64) expvar.Var {
	return expvar.Func(func() any {
		return value.Load()
	})
}

// MetricsReference returns the table of metrics as Markdown for the reference page.
func MetricsReference() string {
	var page strings.Builder
	page.WriteString("| metric | meaning |\n| --- | --- |\n")
	for _, row := range metricTable(&proxy.EntryCounters{}, &proxy.GateCounters{}, &peer.Traffic{}) {
		fmt.Fprintf(&page, "| `%s` | %s |\n", row.Name, row.Meaning)
	}
	return page.String()
}
