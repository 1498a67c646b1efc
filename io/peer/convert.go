package peer

import (
	"time"

	"verbenaway/core"
	"verbenaway/io/wire"
)

// convertAll converts each element of a list. The result for an empty list is nil.
func convertAll[From, To any](from []From, convert func(From) To) []To {
	if len(from) == 0 {
		return nil
	}
	to := make([]To, 0, len(from))
	for _, element := range from {
		to = append(to, convert(element))
	}
	return to
}

// convertChecked is convertAll for a conversion that can fail; it returns the first error.
func convertChecked[From, To any](from []From, convert func(From) (To, error)) ([]To, error) {
	if len(from) == 0 {
		return nil, nil
	}
	to := make([]To, 0, len(from))
	for _, element := range from {
		converted, err := convert(element)
		if err != nil {
			return nil, err
		}
		to = append(to, converted)
	}
	return to, nil
}

func toHash(field string, bytes []byte) (core.Hash, error) {
	var hash core.Hash
	if len(bytes) != len(hash) {
		return hash, core.Errorf(core.PeerMalformed, "%s has %d bytes, want %d", field, len(bytes), len(hash))
	}
	copy(hash[:], bytes)
	return hash, nil
}

func fromDigest(d core.Digest) *wire.Digest {
	age := d.ReaderAge.Milliseconds()
	if d.ReaderAge < 0 {
		age = -1
	}
	return &wire.Digest{
		Sender:           string(d.Sender),
		AvailabilityZone: string(d.AvailabilityZone),
		Region:           string(d.Region),
		Incarnation:      d.Incarnation,
		Version:          uint64(d.Version),
		Hash:             d.Hash[:],
		HostsRevision:    d.HostsRevision,
		MembersHash:      d.MembersHash,
		ReaderAgeMs:      age,
		Ready:            d.Ready,
		Wall:             d.Time.Wall,
		Logical:          d.Time.Logical,
	}
}

func toDigest(d *wire.Digest) (core.Digest, error) {
	if d.GetSender() == "" {
		return core.Digest{}, core.Errorf(core.PeerMalformed, "digest without sender")
	}
	hash, err := toHash("digest hash", d.GetHash())
	if err != nil {
		return core.Digest{}, err
	}
	age := time.Duration(d.GetReaderAgeMs()) * time.Millisecond
	if d.GetReaderAgeMs() < 0 {
		age = -1
	}
	return core.Digest{
		Sender:           core.HostName(d.GetSender()),
		AvailabilityZone: core.AvailabilityZone(d.GetAvailabilityZone()),
		Region:           core.Region(d.GetRegion()),
		Incarnation:      d.GetIncarnation(),
		Version:          core.Version(d.GetVersion()),
		Hash:             hash,
		HostsRevision:    d.GetHostsRevision(),
		MembersHash:      d.GetMembersHash(),
		ReaderAge:        age,
		Ready:            d.GetReady(),
		Time: core.Timestamp{
			Wall:    d.GetWall(),
			Logical: d.GetLogical(),
		},
	}, nil
}

func fromHost(h core.Host) *wire.Host {
	return &wire.Host{
		Name:             string(h.Name),
		AvailabilityZone: string(h.AvailabilityZone),
		Region:           string(h.Region),
		Service:          string(h.Service),
		PeerAddress:      h.PeerAddress,
		GateAddress:      h.GateAddress,
		AdminAddress:     h.AdminAddress,
		State:            string(h.State),
	}
}

func toHost(h *wire.Host) core.Host {
	return core.Host{
		Name:             core.HostName(h.GetName()),
		AvailabilityZone: core.AvailabilityZone(h.GetAvailabilityZone()),
		Region:           core.Region(h.GetRegion()),
		Service:          core.ServiceName(h.GetService()),
		PeerAddress:      h.GetPeerAddress(),
		GateAddress:      h.GetGateAddress(),
		AdminAddress:     h.GetAdminAddress(),
		State:            core.HostState(h.GetState()),
	}
}

func fromEvent(e core.MemberEvent) *wire.MemberEvent {
	return &wire.MemberEvent{
		Host:        fromHost(e.Host),
		Incarnation: e.Incarnation,
		State:       int32(e.State),
		EligibleAt:  e.EligibleAt,
		LeavingAt:   e.LeavingAt,
	}
}

func toEvent(e *wire.MemberEvent) (core.MemberEvent, error) {
	state := core.MemberState(e.GetState())
	if state < core.MemberAlive || state > core.MemberLeft || e.GetHost().GetName() == "" {
		return core.MemberEvent{}, core.Errorf(core.PeerMalformed, "member event of %q with state %d", e.GetHost().GetName(), state)
	}
	return core.MemberEvent{
		Host:        toHost(e.GetHost()),
		Incarnation: e.GetIncarnation(),
		State:       state,
		EligibleAt:  e.GetEligibleAt(),
		LeavingAt:   e.GetLeavingAt(),
	}, nil
}

func fromExchange(m core.ExchangeMessage) *wire.ExchangeMessage {
	return &wire.ExchangeMessage{
		Digest: fromDigest(m.Digest),
		Events: convertAll(m.Events, fromEvent),
		Probe:  m.Probe,
	}
}

func toExchange(m *wire.ExchangeMessage) (core.ExchangeMessage, error) {
	digest, err := toDigest(m.GetDigest())
	if err != nil {
		return core.ExchangeMessage{}, err
	}
	events, err := convertChecked(m.GetEvents(), toEvent)
	return core.ExchangeMessage{
		Digest: digest,
		Events: events,
		Probe:  m.GetProbe(),
	}, err
}

func fromSlice(s core.Slice) *wire.Slice {
	return &wire.Slice{
		Version:      uint64(s.Version),
		PreviousHash: s.PreviousHash[:],
		Hash:         s.Hash[:],
		Verdict:      string(s.Verdict),
		Reason:       s.Reason,
		Parts:        convertAll(s.Parts, fromPart),
		ReceivedMs:   s.Received.UnixMilli(),
	}
}

func fromPart(p core.Part) *wire.Part {
	return &wire.Part{
		HomeRegions: convertAll(p.HomeRegions, func(r core.Region) string { return string(r) }),
		Digest:      p.Digest[:],
		Contents:    p.Contents,
		Hidden:      p.Contents == nil,
	}
}

func toSlice(s *wire.Slice) (core.Slice, error) {
	previous, err := toHash("previous hash", s.GetPreviousHash())
	if err != nil {
		return core.Slice{}, err
	}
	hash, err := toHash("slice hash", s.GetHash())
	if err != nil {
		return core.Slice{}, err
	}
	parts, err := convertChecked(s.GetParts(), toPart)
	return core.Slice{
		Version:      core.Version(s.GetVersion()),
		PreviousHash: previous,
		Hash:         hash,
		Verdict:      core.Kind(s.GetVerdict()),
		Reason:       s.GetReason(),
		Parts:        parts,
		Received:     time.UnixMilli(s.GetReceivedMs()),
	}, err
}

func toPart(p *wire.Part) (core.Part, error) {
	digest, err := toHash("part digest", p.GetDigest())
	if err != nil {
		return core.Part{}, err
	}
	contents := p.GetContents()
	if p.GetHidden() {
		contents = nil
	}
	return core.Part{
		HomeRegions: convertAll(p.GetHomeRegions(), func(r string) core.Region { return core.Region(r) }),
		Digest:      digest,
		Contents:    contents,
	}, nil
}

func fromPush(m core.PushMessage) *wire.PushMessage {
	return &wire.PushMessage{
		Digest:  fromDigest(m.Digest),
		Slices:  convertAll(m.Slices, fromSlice),
		Subtree: convertAll(m.Subtree, func(n core.HostName) string { return string(n) }),
	}
}

func toPush(m *wire.PushMessage) (core.PushMessage, error) {
	digest, err := toDigest(m.GetDigest())
	if err != nil {
		return core.PushMessage{}, err
	}
	slices, err := convertChecked(m.GetSlices(), toSlice)
	return core.PushMessage{
		Digest:  digest,
		Slices:  slices,
		Subtree: convertAll(m.GetSubtree(), func(n string) core.HostName { return core.HostName(n) }),
	}, err
}

func toPullRequest(m *wire.PullRequest) (core.PullRequest, error) {
	digest, err := toDigest(m.GetDigest())
	return core.PullRequest{
		Digest: digest,
		After:  core.Version(m.GetAfter()),
		Full:   m.GetFull(),
	}, err
}

func fromPullAnswer(a core.PullAnswer) *wire.PullAnswer {
	return &wire.PullAnswer{
		Digest:   fromDigest(a.Digest),
		Slices:   convertAll(a.Slices, fromSlice),
		Snapshot: a.Snapshot,
	}
}

func toPullAnswer(a *wire.PullAnswer) (core.PullAnswer, error) {
	digest, err := toDigest(a.GetDigest())
	if err != nil {
		return core.PullAnswer{}, err
	}
	slices, err := convertChecked(a.GetSlices(), toSlice)
	return core.PullAnswer{
		Digest:   digest,
		Slices:   slices,
		Snapshot: a.GetSnapshot(),
	}, err
}

func toProbeForRequest(m *wire.ProbeForRequest) (core.ProbeForRequest, error) {
	digest, err := toDigest(m.GetDigest())
	return core.ProbeForRequest{
		Digest: digest,
		Target: toHost(m.GetTarget()),
	}, err
}

func fromProbeForAnswer(a core.ProbeForAnswer) *wire.ProbeForAnswer {
	answer := &wire.ProbeForAnswer{
		Digest:  fromDigest(a.Digest),
		Reached: a.Reached,
	}
	if a.Reached {
		answer.TargetDigest = fromDigest(a.TargetDigest)
	}
	return answer
}

func toProbeForAnswer(a *wire.ProbeForAnswer) (core.ProbeForAnswer, error) {
	digest, err := toDigest(a.GetDigest())
	if err != nil || !a.GetReached() {
		return core.ProbeForAnswer{
			Digest: digest,
		}, err
	}
	target, err := toDigest(a.GetTargetDigest())
	return core.ProbeForAnswer{
		Digest:       digest,
		Reached:      true,
		TargetDigest: target,
	}, err
}

func toHostsRequest(m *wire.HostsRequest) (core.HostsRequest, error) {
	digest, err := toDigest(m.GetDigest())
	return core.HostsRequest{
		Digest: digest,
		After:  m.GetAfter(),
	}, err
}

func fromHostsAnswer(a core.HostsAnswer) *wire.HostsAnswer {
	return &wire.HostsAnswer{
		Digest:   fromDigest(a.Digest),
		Revision: a.Revision,
		Full:     a.Full,
		Put:      convertAll(a.Put, fromHost),
		Drop:     convertAll(a.Drop, func(n core.HostName) string { return string(n) }),
	}
}

func toHostsAnswer(a *wire.HostsAnswer) (core.HostsAnswer, error) {
	digest, err := toDigest(a.GetDigest())
	return core.HostsAnswer{
		Digest:   digest,
		Revision: a.GetRevision(),
		Full:     a.GetFull(),
		Put:      convertAll(a.GetPut(), toHost),
		Drop:     convertAll(a.GetDrop(), func(n string) core.HostName { return core.HostName(n) }),
	}, err
}
