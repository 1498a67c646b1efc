package admin

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"verbenaway/core"
)

// FleetStatus summarizes the status of all queried daemons.
type FleetStatus struct {
	// Newest is the highest version in force on any daemon.
	Newest core.Version
	Zones  []ZoneStatus
	// Lagging lists the daemons on which the required version is not in force, with the reason.
	Lagging []LaggingHost
	// Refused lists the refused notes known to the daemons, oldest first.
	Refused []core.RefusedNote
	// Dead lists the hosts that are reported as dead and do not answer. They count neither in
	// Zones nor in Lagging, because with 14 host failures a day there is nearly always one.
	Dead []core.HostName
	// Leaving lists the daemons that perform a planned stop.
	Leaving []core.HostName
	// StoreFaults lists the faults that store readers observe in the store.
	StoreFaults []StoreFault
	// ZonesOut lists the availability zones that are out of service according to a daemon with
	// the newest version.
	ZonesOut []core.AvailabilityZone
}

// StoreFault is a fault that one reader observes in the store.
type StoreFault struct {
	Host core.HostName
	Kind core.ErrorKind
}

// ZoneStatus summarizes the daemons of one availability zone.
type ZoneStatus struct {
	AvailabilityZone core.AvailabilityZone
	Region           core.Region
	// Lowest and Highest are the lowest and highest version in force on a daemon that answered.
	Lowest  core.Version
	Highest core.Version
	// InForce, Queried and Answered count daemons. Queried includes those that gave no valid answer.
	InForce  int
	Queried  int
	Answered int
}

// LaggingHost is a daemon that lags behind, does not serve or does not answer.
type LaggingHost struct {
	Host    core.HostName
	Version core.Version
	Reason  string
}

// Summarize compares the status of daemons with the required version; 0 stands for the newest
// version in force on any of them.
func Summarize(answers []Answer[Status], required core.Version) FleetStatus {
	var fleet FleetStatus
	answers = fleet.separateDead(answers)
	for _, answer := range answers {
		if answer.Err == nil && answer.Value.Version >= fleet.Newest {
			fleet.Newest = answer.Value.Version
			fleet.ZonesOut = answer.Value.ZonesOut
		}
	}
	if required == 0 {
		required = fleet.Newest
	}
	zones := map[core.AvailabilityZone]*ZoneStatus{}
	refused := map[core.Version]core.RefusedNote{}
	for _, answer := range answers {
		zone := zones[answer.Host.AvailabilityZone]
		if zone == nil {
			zone = &ZoneStatus{
				AvailabilityZone: answer.Host.AvailabilityZone,
				Region:           answer.Host.Region,
			}
			zones[answer.Host.AvailabilityZone] = zone
		}
		if lagging, isLagging := zone.add(answer, required); isLagging {
			fleet.Lagging = append(fleet.Lagging, lagging)
		}
		if answer.Value.StoreError != "" {
			fleet.StoreFaults = append(fleet.StoreFaults, StoreFault{
				Host: answer.Host.Name,
				Kind: answer.Value.StoreError,
			})
		}
		if answer.Value.Leaving {
			fleet.Leaving = append(fleet.Leaving, answer.Host.Name)
		}
		for _, note := range answer.Value.Refused {
			refused[note.Version] = note
		}
	}
	for _, zone := range zones {
		fleet.Zones = append(fleet.Zones, *zone)
	}
	slices.SortFunc(fleet.Zones, func(a, b ZoneStatus) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.AvailabilityZone, b.AvailabilityZone))
	})
	for _, note := range refused {
		fleet.Refused = append(fleet.Refused, note)
	}
	slices.SortFunc(fleet.Refused, func(a, b core.RefusedNote) int {
		return cmp.Compare(a.Version, b.Version)
	})
	return fleet
}

// separateDead adds the dead hosts to Dead and returns the answers of the others.
func (f *FleetStatus) separateDead(answers []Answer[Status]) []Answer[Status] {
	var others []Answer[Status]
	for _, answer := range answers {
		if answer.IsDead() {
			f.Dead = append(f.Dead, answer.Host.Name)
			continue
		}
		others = append(others, answer)
	}
	return others
}

// add counts one answer; isLagging is true if the required version is not in force on the host.
func (z *ZoneStatus) add(answer Answer[Status], required core.Version) (lagging LaggingHost, isLagging bool) {
	z.Queried++
	lagging = LaggingHost{
		Host: answer.Host.Name,
	}
	if answer.Err != nil {
		lagging.Reason = "does not answer: " + answer.Err.Error()
		return lagging, true
	}
	status := answer.Value
	if z.Answered == 0 || status.Version < z.Lowest {
		z.Lowest = status.Version
	}
	z.Highest = max(z.Highest, status.Version)
	z.Answered++
	lagging.Version = status.Version
	if status.Version >= required && status.NotServing == "" {
		z.InForce++
		return lagging, false
	}
	lagging.Reason = status.LagReason
	if status.NotServing != "" {
		lagging.Reason = string(status.NotServing) + " " + lagging.Reason
	}
	return lagging, true
}

// Write prints the summary for operators.
func (f FleetStatus) Write(out io.Writer) {
	fmt.Fprintf(out, "newest version in force: %d\n", f.Newest)
	fmt.Fprintf(out, "%-16s %-16s %8s %8s %8s %8s\n", "region", "az", "inForce", "asked", "lowest", "highest")
	for _, zone := range f.Zones {
		fmt.Fprintf(out, "%-16s %-16s %8d %8d %8d %8d\n",
			zone.Region, zone.AvailabilityZone, zone.InForce, zone.Queried, zone.Lowest, zone.Highest)
	}
	for _, lagging := range f.Lagging {
		fmt.Fprintf(out, "lagging host=%s version=%d reason=%q\n", lagging.Host, lagging.Version, lagging.Reason)
	}
	for _, name := range f.Dead {
		fmt.Fprintf(out, "dead host=%s\n", name)
	}
	for _, name := range f.Leaving {
		fmt.Fprintf(out, "leaving host=%s\n", name)
	}
	for _, zone := range f.ZonesOut {
		fmt.Fprintf(out, "out az=%s\n", zone)
	}
	for _, fault := range f.StoreFaults {
		fmt.Fprintf(out, "store reader=%s kind=%s\n", fault.Host, fault.Kind)
	}
	for _, note := range f.Refused {
		fmt.Fprintf(out, "refused note=%d kind=%s reason=%q\n", note.Version, note.Kind, note.Reason)
	}
}

// WriteEvents prints each event as a line of key=value pairs.
func WriteEvents(out io.Writer, timeline []core.Event) {
	for _, event := range timeline {
		fmt.Fprintf(out, "%s.%d host=%s az=%s event=%s version=%d", event.Time.Time().UTC().Format("2006-01-02T15:04:05.000Z"),
			event.Time.Logical, event.Host, event.AvailabilityZone, event.Kind, event.Version)
		if event.Subject != "" {
			fmt.Fprintf(out, " subject=%q", event.Subject)
		}
		if event.Detail != "" {
			fmt.Fprintf(out, " detail=%q", event.Detail)
		}
		fmt.Fprintln(out)
	}
}

// Sample returns up to perZone hosts of each availability zone, spaced evenly over the list, so that
// status queries only a few daemons of a large fleet.
func Sample(hosts []core.Host, perZone int) []core.Host {
	byZone := map[core.AvailabilityZone][]core.Host{}
	var zones []core.AvailabilityZone
	for _, host := range hosts {
		if byZone[host.AvailabilityZone] == nil {
			zones = append(zones, host.AvailabilityZone)
		}
		byZone[host.AvailabilityZone] = append(byZone[host.AvailabilityZone], host)
	}
	var sample []core.Host
	for _, zone := range zones {
		inZone := byZone[zone]
		size := min(perZone, len(inZone))
		for i := range size {
			sample = append(sample, inZone[i*len(inZone)/size])
		}
	}
	return sample
}

// PollInterval is the time between two queries while waiting for a version.
const PollInterval = 250 * time.Millisecond
