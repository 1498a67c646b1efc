package snap

import (
	"strings"

	"verbenaway/core"
	"verbenaway/core/note"
)

// Check validates a snapshot: ranges of fields, references, home regions, a version for each
// resource, no resource that its region may not see, and the list of refused notes. Errors
// have the kind peerMalformed.
func Check(s *core.Snapshot) error {
	resources := resourcesOf(s)
	if err := note.CheckResources("resources", resources); err != nil {
		return malformedError(s.Version, "%v", err)
	}
	if found := validate(s); found != nil {
		return found.malformedError(s.Version)
	}
	for _, k := range keysOf(resources) {
		if _, ok := s.Changed[k.String()]; !ok {
			return malformedError(s.Version, "%s has no version of its last change", k)
		}
		if homeRegions, _ := homeRegionsOf(s, k); s.Region != "" && !isVisible(homeRegions, s.Region) {
			return malformedError(s.Version, "%s is not for region %s", k, s.Region)
		}
	}
	for resourceKey, version := range s.Changed {
		if version == 0 || version > s.Version {
			return malformedError(s.Version, "%s was changed in version %d, which is 0 or later than the snapshot", resourceKey, version)
		}
	}
	return checkRefused(s)
}

// checkRefused checks the count, order, kinds and reason lengths of the refused notes.
func checkRefused(s *core.Snapshot) error {
	if len(s.Refused) > MaxRefused {
		return malformedError(s.Version, "%d refused notes, at most %d are kept", len(s.Refused), MaxRefused)
	}
	var previous core.Version
	for _, refused := range s.Refused {
		if refused.Version <= previous || refused.Version > s.Version {
			return malformedError(s.Version, "refused note %d is out of order", refused.Version)
		}
		if !isVerdict(refused.Kind) || len(refused.Reason) > maxReasonBytes {
			return malformedError(s.Version, "refused note %d has an unknown kind or a reason over %d bytes", refused.Version, maxReasonBytes)
		}
		previous = refused.Version
	}
	return nil
}

// maxReasonBytes is larger than any reason that Fold produces.
const maxReasonBytes = 512

// isVerdict reports whether a kind can be the verdict on a refused note.
func isVerdict(verdict core.ErrorKind) bool {
	return strings.HasPrefix(string(verdict), "note") && verdict.Info().Kind == verdict
}
