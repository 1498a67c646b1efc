package lint_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/lint"
)

// sound returns a configuration without findings.
func sound() *core.Snapshot {
	return &core.Snapshot{
		Regions: map[core.Region]core.RegionSpec{
			"otago":  {AvailabilityZones: []core.AvailabilityZone{"otago-a", "otago-b"}},
			"tasman": {AvailabilityZones: []core.AvailabilityZone{"tasman-a"}},
		},
		Services: map[core.ServiceName]core.ServiceSpec{"nets": {Slots: 4}, "crews": {Slots: 4}},
		Routes: map[core.RouteName]core.RouteSpec{
			"lookup": {Host: "a", PathPrefix: "/l", Service: "nets", Timeout: core.Duration(time.Second), LatencyTarget: core.Duration(time.Second)},
			"order":  {Host: "a", PathPrefix: "/o", Service: "nets", Tenant: "roads", Split: []core.SplitSpec{{Service: "nets", Weight: 9}, {Service: "crews", Weight: 1}}},
		},
		Tenants: map[core.TenantName]core.TenantSpec{
			"roads": {Keys: []core.KeyDigest{core.DigestKey("r")}, Quota: core.QuotaSpec{RequestsPerSecond: 0.5, Burst: 1}},
		},
		Limits: map[string]core.LimitSpec{
			"all":   {Tenant: "roads", RequestsPerSecond: 20},
			"order": {Route: "order", RequestsPerSecond: 10, Concurrent: 3},
		},
	}
}

// TestRules guards against a rule that finds nothing, or something in a sound configuration.
func TestRules(t *testing.T) {
	tests := []struct {
		rule    lint.RuleName
		subject string
		spoil   func(config *core.Snapshot)
	}{
		{rule: "unmatchableRoute", subject: "route/lookup", spoil: func(s *core.Snapshot) {
			s.Routes["lookup"] = core.RouteSpec{Host: "a", PathPrefix: "l", Service: "nets"}
		}},
		{rule: "noCommonRegion", subject: "route/lookup", spoil: func(s *core.Snapshot) {
			s.Routes["lookup"] = core.RouteSpec{Host: "a", PathPrefix: "/l", Service: "nets", HomeRegions: []core.Region{"otago"}}
			s.Services["nets"] = core.ServiceSpec{HomeRegions: []core.Region{"tasman", "otago"}}
			delete(s.Regions, "otago")
		}},
		{rule: "noCommonRegion", subject: "tenant/roads", spoil: func(s *core.Snapshot) {
			for name, route := range s.Routes {
				route.HomeRegions = []core.Region{"otago"}
				s.Routes[name] = route
			}
			s.Tenants["roads"] = core.TenantSpec{HomeRegions: []core.Region{"tasman"}, Keys: s.Tenants["roads"].Keys}
		}},
		{rule: "idleSplitPart", subject: "route/order", spoil: func(s *core.Snapshot) { s.Routes["order"].Split[1].Weight = 0 }},
		{rule: "idleSplitPart", subject: "route/order", spoil: func(s *core.Snapshot) { s.Routes["order"].Split[1].Service = "crew" }},
		{rule: "nothingInService", subject: "service/nets", spoil: func(s *core.Snapshot) {
			s.Services["nets"] = core.ServiceSpec{HomeRegions: []core.Region{"tasman"}}
			s.Out = map[core.AvailabilityZone]bool{"tasman-a": true}
		}},
		{rule: "emptyLimit", subject: "limit/all", spoil: func(s *core.Snapshot) { s.Limits["all"] = core.LimitSpec{Tenant: "roads"} }},
		{rule: "unreachableLimit", subject: "limit/order", spoil: func(s *core.Snapshot) { s.Limits["all"] = core.LimitSpec{Tenant: "roads", Concurrent: 2} }},
		{rule: "unreachableLimit", subject: "limit/twin", spoil: func(s *core.Snapshot) { s.Limits["twin"] = s.Limits["order"] }},
		{rule: "targetAboveTimeout", subject: "route/lookup", spoil: func(s *core.Snapshot) {
			s.Routes["lookup"] = core.RouteSpec{Host: "a", PathPrefix: "/l", Service: "nets", Timeout: 1, LatencyTarget: 2}
		}},
		{rule: "unusedService", subject: "service/spare", spoil: func(s *core.Snapshot) { s.Services["spare"] = core.ServiceSpec{} }},
		{rule: "tenantWithoutKey", subject: "tenant/crew", spoil: func(s *core.Snapshot) { s.Tenants["crew"] = core.TenantSpec{} }},
		{rule: "quotaWithoutBurst", subject: "tenant/roads", spoil: func(s *core.Snapshot) {
			s.Tenants["roads"] = core.TenantSpec{Keys: s.Tenants["roads"].Keys, Quota: core.QuotaSpec{RequestsPerSecond: 0.5}}
		}},
	}
	c := qt.New(t)
	c.Assert(lint.Check(sound()), qt.HasLen, 0)
	tested := map[lint.RuleName]bool{}
	for _, test := range tests {
		config := sound()
		test.spoil(config)
		var got []string
		for _, finding := range lint.Check(config) {
			if finding.Rule == test.rule {
				got = append(got, finding.Subject)
			}
		}
		c.Check(got, qt.Contains, test.subject, qt.Commentf("%s", test.rule))
		tested[test.rule] = true
	}
	for _, rule := range lint.Rules {
		c.Check(tested[rule.Name], qt.IsTrue, qt.Commentf("%s", rule.Name))
	}
}

// TestCompare guards against a difference that is not listed, one that is none, and an API key in the
// output.
func TestCompare(t *testing.T) {
	c := qt.New(t)
	before, after := sound(), sound()
	after.Tenants["roads"] = core.TenantSpec{Keys: []core.KeyDigest{core.DigestKey("r"), core.DigestKey("s")}, Quota: before.Tenants["roads"].Quota, HomeRegions: []core.Region{}}
	after.Routes["lookup"] = core.RouteSpec{Host: "a", PathPrefix: "/l", Service: "nets", Timeout: core.Duration(2 * time.Second), LatencyTarget: core.Duration(time.Second)}
	delete(after.Limits, "order")
	after.Services["spare"] = core.ServiceSpec{}
	after.Out = map[core.AvailabilityZone]bool{"otago-a": true}
	report := lint.Report{Changes: lint.Compare(before, after)}
	c.Assert(report.Text(), qt.Equals, `withdrawn: limit/order
changed: route/lookup: timeout 1s -> 2s
added: service/spare
changed: tenant/roads: keys 1 -> 2
added: zoneOut/otago-a
`)
	c.Assert(lint.Compare(before, sound()), qt.HasLen, 0)
}
