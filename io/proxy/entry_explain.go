package proxy

import (
	"verbenaway/core"
	"verbenaway/core/route"
)

// EntryExplanation tells how an entry would decide on a request, for operators.
type EntryExplanation struct {
	Version core.Version `json:"version"`
	// Kind is the kind of the refusal, "" if the request would be sent.
	Kind        core.Kind     `json:"kind,omitempty"`
	HomeRegions []core.Region `json:"homeRegions,omitempty"`
	// Routes and Upstreams are in the order in which they are looked at.
	Routes    []route.Step         `json:"routes"`
	Upstreams []route.UpstreamStep `json:"upstreams,omitempty"`
}

// Explain decides on a request without sending it.
func (e *Entry) Explain(request route.Request) EntryExplanation {
	snapshot, kind := e.config.Config.Snapshot()
	if snapshot == nil {
		return EntryExplanation{
			Kind: kind,
		}
	}
	table := e.viewOf(snapshot).table
	match, kind := table.Match(request)
	explanation := EntryExplanation{
		Version: table.Snapshot().Version,
		Kind:    kind,
		Routes:  table.Explain(request),
	}
	if kind != "" {
		return explanation
	}
	explanation.HomeRegions = match.HomeRegions.Regions()
	if !match.HomeRegions.Allows(e.config.Self.Region) {
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
