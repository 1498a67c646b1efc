package logs

import (
	"time"

	"github.com/apex/log"

	"verbenaway/core"
)

// eventFields returns the fields of an event that have a value.
func eventFields(event *core.Event) log.Fields {
	fields := log.Fields{}
	putNumber(fields, "version", event.Version)
	putNumber(fields, "revision", event.Revision)
	putText(fields, "subject", event.Subject)
	putText(fields, "detail", event.Detail)
	return fields
}

// decisionFields returns the fields of a decision that have a value.
func decisionFields(decision *core.Decision) log.Fields {
	fields := log.Fields{
		"request": decision.RequestID,
	}
	putText(fields, "route", decision.Route)
	putText(fields, "service", decision.Service)
	putText(fields, "tenant", decision.Tenant)
	putText(fields, "sender", decision.Sender)
	putText(fields, "upstream", decision.Host)
	putText(fields, "instance", decision.Instance)
	if decision.Fingerprint != nil {
		fields["fingerprint"] = decision.Fingerprint.String()
	}
	putNumber(fields, "version", decision.Version)
	putNumber(fields, "revision", decision.Revision)
	putNumber(fields, "attempt", decision.Attempt)
	putNumber(fields, "inFlight", decision.InFlight)
	putNumber(fields, "limit", decision.Limit)
	putDuration(fields, "elapsed", decision.Elapsed)
	putDuration(fields, "left", decision.Left)
	putNumber(fields, "status", decision.Status)
	putText(fields, "error", decision.Error)
	putDuration(fields, "retryAfter", decision.RetryAfter)
	putText(fields, "detail", decision.Detail)
	return fields
}

func putText[T ~string](fields log.Fields, name string, value T) {
	if value != "" {
		fields[name] = string(value)
	}
}

func putNumber[T ~int | ~int64 | ~uint64](fields log.Fields, name string, value T) {
	if value != 0 {
		fields[name] = value
	}
}

// durationPrecision is the precision of durations in logs.
const durationPrecision = 100 * time.Microsecond

func putDuration(fields log.Fields, name string, value time.Duration) {
	if value != 0 {
		fields[name] = value.Round(durationPrecision).String()
	}
}
