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

func decodeHash(field string, bytes []byte) (core.Hash, error) {
	var hash core.Hash
	if len(bytes) != len(hash) {
		return hash, core.Errorf(core.PeerMalformed, "%s has %d bytes, want %d", field, len(bytes), len(hash))
	}
	copy(hash[:], bytes)
	return hash, nil
}

func encodeDigest(d core.Digest) *wire.Digest {
	age := d.ReaderAge.Milliseconds()
	// -1 ns, an unknown age, would be 0 in milliseconds.
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

func decodeDigest(d *wire.Digest) (core.Digest, error) {
	if d.GetSender() == "" {
		return core.Digest{}, core.Errorf(core.PeerMalformed, "digest without sender")
	}
	hash, err := decodeHash("digest hash", d.GetHash())
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

func encodeHost(h core.Host) *wire.Host {
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

func decodeHost(h *wire.Host) core.Host {
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

func encodeEvent(e core.MemberEvent) *wire.MemberEvent {
	return &wire.MemberEvent{
		Host:        encodeHost(e.Host),
		Incarnation: e.Incarnation,
		State:       int32(e.State),
		EligibleAt:  e.EligibleAt,
		LeavingAt:   e.LeavingAt,
	}
}

func decodeEvent(e *wire.MemberEvent) (core.MemberEvent, error) {
	state := core.MemberState(e.GetState())
	if state < core.MemberAlive || state > core.MemberLeft || e.GetHost().GetName() == "" {
		return core.MemberEvent{}, core.Errorf(core.PeerMalformed, "member event of %q with state %d", e.GetHost().GetName(), state)
	}
	return core.MemberEvent{
		Host:        decodeHost(e.GetHost()),
		Incarnation: e.GetIncarnation(),
		State:       state,
		EligibleAt:  e.GetEligibleAt(),
		LeavingAt:   e.GetLeavingAt(),
	}, nil
}

func encodeExchange(m core.ExchangeMessage) *wire.ExchangeMessage {
	return &wire.ExchangeMessage{
		Digest: encodeDigest(m.Digest),
		Events: convertAll(m.Events, encodeEvent),
		Probe:  m.Probe,
	}
}

func decodeExchange(m *wire.ExchangeMessage) (core.ExchangeMessage, error) {
	digest, err := decodeDigest(m.GetDigest())
	if err != nil {
		return core.ExchangeMessage{}, err
	}
	events, err := convertChecked(m.GetEvents(), decodeEvent)
	return core.ExchangeMessage{
		Digest: digest,
		Events: events,
		Probe:  m.GetProbe(),
	}, err
}

func encodeSlice(s core.Slice) *wire.Slice {
	return &wire.Slice{
		Version:      uint64(s.Version),
		PreviousHash: s.PreviousHash[:],
		Hash:         s.Hash[:],
		Verdict:      string(s.Verdict),
		Reason:       s.Reason,
		Parts:        convertAll(s.Parts, encodePart),
		ReceivedMs:   s.Received.UnixMilli(),
	}
}

func encodePart(p core.Part) *wire.Part {
	return &wire.Part{
		HomeRegions: convertAll(p.HomeRegions, func(r core.Region) string { return string(r) }),
		Digest:      p.Digest[:],
		Contents:    p.Contents,
		Hidden:      p.Contents == nil,
	}
}

func decodeSlice(s *wire.Slice) (core.Slice, error) {
	previous, err := decodeHash("previous hash", s.GetPreviousHash())
	if err != nil {
		return core.Slice{}, err
	}
	hash, err := decodeHash("slice hash", s.GetHash())
	if err != nil {
		return core.Slice{}, err
	}
	parts, err := convertChecked(s.GetParts(), decodePart)
	return core.Slice{
		Version:      core.Version(s.GetVersion()),
		PreviousHash: previous,
		Hash:         hash,
		Verdict:      core.ErrorKind(s.GetVerdict()),
		Reason:       s.GetReason(),
		Parts:        parts,
		Received:     time.UnixMilli(s.GetReceivedMs()),
	}, err
}

func decodePart(p *wire.Part) (core.Part, error) {
	digest, err := decodeHash("part digest", p.GetDigest())
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

func encodePush(m core.PushMessage) *wire.PushMessage {
	return &wire.PushMessage{
		Digest:  encodeDigest(m.Digest),
		Slices:  convertAll(m.Slices, encodeSlice),
		Subtree: convertAll(m.Subtree, func(n core.HostName) string { return string(n) }),
	}
}

func decodePush(m *wire.PushMessage) (core.PushMessage, error) {
	digest, err := decodeDigest(m.GetDigest())
	if err != nil {
		return core.PushMessage{}, err
	}
	slices, err := convertChecked(m.GetSlices(), decodeSlice)
	return core.PushMessage{
		Digest:  digest,
		Slices:  slices,
		Subtree: convertAll(m.GetSubtree(), func(n string) core.HostName { return core.HostName(n) }),
	}, err
}

func decodePullRequest(m *wire.PullRequest) (core.PullRequest, error) {
	digest, err := decodeDigest(m.GetDigest())
	return core.PullRequest{
		Digest: digest,
		After:  core.Version(m.GetAfter()),
		Full:   m.GetFull(),
	}, err
}

func encodePullAnswer(a core.PullAnswer) *wire.PullAnswer {
	return &wire.PullAnswer{
		Digest:   encodeDigest(a.Digest),
		Slices:   convertAll(a.Slices, encodeSlice),
		Snapshot: a.Snapshot,
	}
}

func decodePullAnswer(a *wire.PullAnswer) (core.PullAnswer, error) {
	digest, err := decodeDigest(a.GetDigest())
	if err != nil {
		return core.PullAnswer{}, err
	}
	slices, err := convertChecked(a.GetSlices(), decodeSlice)
	return core.PullAnswer{
		Digest:   digest,
		Slices:   slices,
		Snapshot: a.GetSnapshot(),
	}, err
}

func decodeProbeForRequest(m *wire.ProbeForRequest) (core.ProbeForRequest, error) {
	digest, err := decodeDigest(m.GetDigest())
	return core.ProbeForRequest{
		Digest: digest,
		Target: decodeHost(m.GetTarget()),
	}, err
}

func encodeProbeForAnswer(a core.ProbeForAnswer) *wire.ProbeForAnswer {
	answer := &wire.ProbeForAnswer{
		Digest:  encodeDigest(a.Digest),
		Reached: a.Reached,
	}
	if a.Reached {
		answer.TargetDigest = encodeDigest(a.TargetDigest)
	}
	return answer
}

func decodeProbeForAnswer(a *wire.ProbeForAnswer) (core.ProbeForAnswer, error) {
	digest, err := decodeDigest(a.GetDigest())
	if err != nil || !a.GetReached() {
		return core.ProbeForAnswer{
			Digest: digest,
		}, err
	}
	target, err := decodeDigest(a.GetTargetDigest())
	return core.ProbeForAnswer{
		Digest:       digest,
		Reached:      true,
		TargetDigest: target,
	}, err
}

func decodeHostsRequest(m *wire.HostsRequest) (core.HostsRequest, error) {
	digest, err := decodeDigest(m.GetDigest())
	return core.HostsRequest{
		Digest: digest,
		After:  m.GetAfter(),
	}, err
}

func encodeHostsAnswer(a core.HostsAnswer) *wire.HostsAnswer {
	return &wire.HostsAnswer{
		Digest:   encodeDigest(a.Digest),
		Revision: a.Revision,
		Full:     a.Full,
		Put:      convertAll(a.Put, encodeHost),
		Drop:     convertAll(a.Drop, func(n core.HostName) string { return string(n) }),
	}
}

func decodeHostsAnswer(a *wire.HostsAnswer) (core.HostsAnswer, error) {
	digest, err := decodeDigest(a.GetDigest())
	return core.HostsAnswer{
		Digest:   digest,
		Revision: a.GetRevision(),
		Full:     a.GetFull(),
		Put:      convertAll(a.GetPut(), decodeHost),
		Drop:     convertAll(a.GetDrop(), func(n string) core.HostName { return core.HostName(n) }),
	}, err
}
