package quota

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"verbenaway/core"
)

const (
	// reportInterval is the minimum time between two reports that a tenant is beyond its quota.
	reportInterval = 10 * time.Second
	// maxReports bounds the reports within reportInterval.
	maxReports = 20
	// maxStatuses bounds the tenants in metrics.
	maxStatuses = 50
)

// counts count since the start of the process.
type counts struct {
	// taken are requests within the quota, refused those beyond it.
	taken   int64
	refused int64
	// granted are permits handed out to any daemon, this one included.
	granted  int64
	returned int64
	// isGranter is set if this daemon granted permits when it was last asked.
	isGranter bool
	// reportedAt is the time of the last report, reportedRefused the number of refused requests then.
	reportedAt      time.Time
	reportedRefused int64
}

// reports bounds the number of reports.
type reports struct {
	since time.Time
	count int
}

// Status is what a daemon knows of the quota of a tenant.
type Status struct {
	Tenant core.TenantName
	Spec   core.QuotaSpec
	// Taken, Refused, Granted and Returned count since the start of the process.
	Taken    int64
	Refused  int64
	Granted  int64
	Returned int64
	// Permits are those that this daemon can use now.
	Permits int
	// Granters are the daemons that hand out permits, in the order in which this daemon asks them.
	Granters []core.HostName
	// IsGranter is set if this daemon is one of them; Left is then the number of permits that it has.
	IsGranter bool
	Left      int
}

// reportRefusal records that a tenant is beyond its quota.
func (k *Keeper) reportRefusal(name core.TenantName, spec core.QuotaSpec, decision core.QuotaDecision) {
	now := k.config.Clock.Now()
	t := k.tenant(name)
	t.mu.Lock()
	if !t.counts.reportedAt.IsZero() && now.Sub(t.counts.reportedAt) < reportInterval {
		t.mu.Unlock()
		return
	}
	refused := t.counts.refused - t.counts.reportedRefused
	t.counts.reportedAt, t.counts.reportedRefused = now, t.counts.refused
	t.mu.Unlock()
	if !k.countReport(now) {
		return
	}
	k.config.Journal.Record(core.Event{
		Host:             k.config.Self.Name,
		AvailabilityZone: k.config.Self.AvailabilityZone,
		Kind:             core.EventQuotaExceeded,
		Subject:          string(name),
		Detail: fmt.Sprintf("%d requests refused here since the last report; quota %g/s, burst %d; next permit in %v",
			refused, spec.RequestsPerSecond, spec.Burst, decision.RetryAfter.Round(time.Millisecond)),
	})
}

func (k *Keeper) countReport(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.reports.since) >= reportInterval {
		k.reports = reports{
			since: now,
		}
	}
	k.reports.count++
	return k.reports.count <= maxReports
}

// Status returns that of one tenant, false if it has no quota.
func (k *Keeper) Status(name core.TenantName) (Status, bool) {
	spec, ok := k.spec(name)
	ring := k.currentRing()
	if !ok || ring == nil {
		return Status{}, false
	}
	now := k.config.Clock.Now()
	fill := k.fill(now, name, spec, ring)
	t := k.tenant(name)
	t.mu.Lock()
	defer t.mu.Unlock()
	status := Status{
		Tenant:    name,
		Spec:      spec,
		Taken:     t.counts.taken,
		Refused:   t.counts.refused,
		Granted:   t.counts.granted,
		Returned:  t.counts.returned,
		Permits:   t.account.Permits(now),
		IsGranter: fill.Standing.IsGranter,
	}
	if status.IsGranter {
		status.Left = t.bucket.Level(now, fill)
	}
	for _, host := range ring.Granters(name) {
		status.Granters = append(status.Granters, host.Name)
	}
	return status, true
}

// Statuses returns those of the tenants with the most refused requests, then the most taken ones.
func (k *Keeper) Statuses() []Status {
	type load struct {
		name    core.TenantName
		refused int64
		taken   int64
	}
	k.mu.RLock()
	loads := make([]load, 0, len(k.tenants))
	for name, t := range k.tenants {
		t.mu.Lock()
		loads = append(loads, load{
			name:    name,
			refused: t.counts.refused,
			taken:   t.counts.taken,
		})
		t.mu.Unlock()
	}
	k.mu.RUnlock()
	slices.SortFunc(loads, func(a, b load) int {
		return cmp.Or(cmp.Compare(b.refused, a.refused), cmp.Compare(b.taken, a.taken), cmp.Compare(a.name, b.name))
	})
	var statuses []Status
	for _, l := range loads[:min(len(loads), maxStatuses)] {
		if status, ok := k.Status(l.name); ok {
			statuses = append(statuses, status)
		}
	}
	return statuses
}
