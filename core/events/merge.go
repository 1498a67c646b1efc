package events

import (
	"cmp"
	"slices"
	"time"

	"verbenaway/core"
)

// Filter selects events by the fields that are not zero.
type Filter struct {
	Since            time.Time
	Kind             core.EventKind
	Host             core.HostName
	AvailabilityZone core.AvailabilityZone
}

func (f Filter) accepts(event core.Event) bool {
	return (f.Since.IsZero() || event.Time.Wall >= f.Since.UnixMilli()) &&
		(f.Kind == "" || f.Kind == event.Kind) &&
		(f.Host == "" || f.Host == event.Host) &&
		(f.AvailabilityZone == "" || f.AvailabilityZone == event.AvailabilityZone)
}

// Merge returns the selected events of several daemons as one timeline, oldest first. Events with
// equal timestamps are ordered by host, so that the order is deterministic.
func Merge(filter Filter, lists ...[]core.Event) []core.Event {
	var merged []core.Event
	for _, list := range lists {
		for _, event := range list {
			if filter.accepts(event) {
				merged = append(merged, event)
			}
		}
	}
	slices.SortStableFunc(merged, func(a, b core.Event) int {
		return cmp.Or(
			cmp.Compare(a.Time.Wall, b.Time.Wall),
			cmp.Compare(a.Time.Logical, b.Time.Logical),
			cmp.Compare(a.Host, b.Host),
		)
	})
	return merged
}
