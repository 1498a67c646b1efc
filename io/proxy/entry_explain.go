package proxy

import (
	"verbenaway/core"
	"verbenaway/core/route"
)

// EntryExplanation shows operators how an entry would route a request.
type EntryExplanation struct {
	Version core.Version `json:"version"`
	// Kind is the kind of the refusal, "" if the request would be forwarded.
	Kind core.ErrorKind `json:"kind,omitempty"`
	// Tenant is that of the request, and Priority the rank of the request among those that wait for the
	// same upstream, lower first.
	Tenant      core.TenantName `json:"tenant,omitempty"`
	Priority    int             `json:"priority"`
	HomeRegions []core.Region   `json:"homeRegions,omitempty"`
	// Routes and Upstreams are in the order in which they are considered.
	Routes    []route.Step         `json:"routes"`
	Upstreams []route.UpstreamStep `json:"upstreams,omitempty"`
}

// Explain returns the decision on a request without sending it.
func (e *Entry) Explain(request route.Request) EntryExplanation {
	snapshot, kind := e.config.Config.Snapshot()
	if snapshot == nil {
		return EntryExplanation{
			Kind: kind,
		}
	}
	return e.explain(e.viewFor(snapshot), request)
}

// ExplainKey returns the decision on a request with the API key that has a digest.
func (e *Entry) ExplainKey(request route.Request, key core.KeyDigest) EntryExplanation {
	snapshot, kind := e.config.Config.Snapshot()
	if snapshot == nil {
		return EntryExplanation{
			Kind: kind,
		}
	}
	view := e.viewFor(snapshot)
	request.Tenant = ""
	if view.keys != nil {
		request.Tenant, _ = view.keys.TenantOf(key)
	}
	return e.explain(view, request)
}

func (e *Entry) explain(view *entryView, request route.Request) EntryExplanation {
	table := view.table
	match, kind := table.Match(request)
	explanation := EntryExplanation{
		Version: table.Snapshot().Version,
		Kind:    kind,
		Tenant:  request.Tenant,
		Routes:  table.Explain(request),
	}
	if kind != "" {
		return explanation
	}
	explanation.Priority = table.Snapshot().RequestPriority(&match.Route.Spec, request.Tenant)
	explanation.HomeRegions = match.HomeRegions.Regions()
	switch {
	case view.keys != nil && request.Tenant == "" && !match.Route.Spec.IsOpen:
		explanation.Kind = core.Unauthenticated
	case e.config.Dialect == nil && !match.HomeRegions.Allows(e.config.Self.Region):
		explanation.Kind = core.HomeRegion
	}
	explanation.Upstreams = e.balancer.Explain(e.config.Clock.Now(), route.Query{
		Service:     match.Route.Service,
		HomeRegions: match.HomeRegions,
		Snapshot:    table.Snapshot(),
		Members:     e.config.Members.ServiceMembers(match.Route.Spec.Service),
	})
	if explanation.Kind == "" && !hasUsable(explanation.Upstreams) {
		explanation.Kind = core.NoUpstream
	}
	return explanation
}

func hasUsable(steps []route.UpstreamStep) bool {
	for _, step := range steps {
		if step.Usable {
			return true
		}
	}
	return false
}
