package snap

import (
	"iter"
	"maps"
	"slices"
	"strconv"

	"verbenaway/core"
	"verbenaway/core/note"
)

// violation describes a rule that a configuration violates.
type violation struct {
	kind core.ErrorKind
	// subject is the resource whose field, such as ".homeRegions", refers to reference.
	subject   key
	field     string
	reference key
	// requirement states the rule for the subject, referenceRequirement for the reference.
	requirement          string
	referenceRequirement string
}

// noteError converts the violation to an error at the operation that caused it: the one on the
// subject if there is one, else the one on the reference.
func (v *violation) noteError(before *core.Snapshot, operations []operation) *note.Error {
	if v.subject.kind == kindZone {
		// The note has removed the zone from this region.
		v.reference = key{kindRegion, string(zoneRegion(before, core.AvailabilityZone(v.subject.name)))}
	}
	refusal := &note.Error{
		Kind:        v.kind,
		Value:       strconv.Quote(v.reference.name),
		Requirement: v.requirement,
	}
	for _, op := range operations {
		if op.key == v.subject {
			refusal.Path = op.path + v.field
			return refusal
		}
	}
	refusal.Value = v.subject.String()
	refusal.Requirement = v.referenceRequirement
	for _, op := range operations {
		if op.key != v.reference {
			continue
		}
		refusal.Path = op.path
		if op.action == actionWithdraw {
			refusal.Kind = core.NoteReference
		}
	}
	return refusal
}

// malformedError converts the violation to an error for a snapshot received from a peer.
func (v *violation) malformedError(version core.Version) error {
	return malformedError(version, "%s%s: %s", v.subject, v.field, v.requirement)
}

const (
	referencedRequirement   = "must stay while other resources refer to it"
	outOfServiceRequirement = "must keep availability zones that are out of service, unless the note brings them back"
	homeRegionsRequirement  = "must keep the home regions of the routes that use it"
	regionRequirement       = "must be a region of the configuration"
	overlapRequirement      = "must not match the same requests as another route (same host, pathPrefix, tenant and a common method)"
)

// validate returns the first violation in the order of kinds and names, so that all hosts
// report the same one. Names are sorted only after a violation was found, because every daemon
// validates its whole configuration after every change.
func validate(s *core.Snapshot) *violation {
	if firstViolation(s, false) == nil {
		return nil
	}
	return firstViolation(s, true)
}

// namesOf iterates over the keys of a map, in sorted order if requested.
func namesOf[K ~string, V any](m map[K]V, sorted bool) iter.Seq[K] {
	if !sorted {
		return maps.Keys(m)
	}
	return slices.Values(slices.Sorted(maps.Keys(m)))
}

func firstViolation(s *core.Snapshot, sorted bool) *violation {
	for _, check := range []func(*core.Snapshot, bool) *violation{
		validateZones,
		validateServices,
		validateTenants,
		validateRoutes,
		validateOverlap,
		validateLimits,
	} {
		if found := check(s, sorted); found != nil {
			return found
		}
	}
	return nil
}

// validateZones checks that no availability zone is in two regions and that every zone that is
// out of service exists.
func validateZones(s *core.Snapshot, sorted bool) *violation {
	owners := map[core.AvailabilityZone]core.Region{}
	for region := range namesOf(s.Regions, sorted) {
		for _, zone := range s.Regions[region].AvailabilityZones {
			if owner, taken := owners[zone]; taken {
				return &violation{
					kind:                 core.NoteOverlap,
					subject:              key{kindRegion, string(region)},
					field:                ".availabilityZones",
					reference:            key{kindRegion, string(owner)},
					requirement:          "must not list an availability zone of another region",
					referenceRequirement: "must not list an availability zone of another region",
				}
			}
			owners[zone] = region
		}
	}
	for zone := range namesOf(s.Out, sorted) {
		if owners[zone] == "" {
			return &violation{
				kind:                 core.NoteReference,
				subject:              key{kindZone, string(zone)},
				requirement:          outOfServiceRequirement,
				referenceRequirement: outOfServiceRequirement,
			}
		}
	}
	return nil
}

func validateServices(s *core.Snapshot, sorted bool) *violation {
	for name := range namesOf(s.Services, sorted) {
		if found := validateHomeRegions(s, key{kindService, string(name)}, s.Services[name].HomeRegions); found != nil {
			return found
		}
	}
	return nil
}

func validateTenants(s *core.Snapshot, sorted bool) *violation {
	for name := range namesOf(s.Tenants, sorted) {
		if found := validateHomeRegions(s, key{kindTenant, string(name)}, s.Tenants[name].HomeRegions); found != nil {
			return found
		}
	}
	return nil
}

func validateHomeRegions(s *core.Snapshot, subject key, homeRegions []core.Region) *violation {
	for _, region := range homeRegions {
		if _, ok := s.Regions[region]; !ok {
			return &violation{
				kind:                 core.NoteRegion,
				subject:              subject,
				field:                ".homeRegions",
				reference:            key{kindRegion, string(region)},
				requirement:          regionRequirement,
				referenceRequirement: referencedRequirement,
			}
		}
	}
	return nil
}

func validateRoutes(s *core.Snapshot, sorted bool) *violation {
	for name := range namesOf(s.Routes, sorted) {
		spec := s.Routes[name]
		subject := key{kindRoute, string(name)}
		if found := validateHomeRegions(s, subject, spec.HomeRegions); found != nil {
			return found
		}
		service := key{kindService, string(spec.Service)}
		if found := validateRouteReference(s, subject, ".service", service, spec.HomeRegions); found != nil {
			return found
		}
		if spec.Tenant == "" {
			continue
		}
		tenant := key{kindTenant, string(spec.Tenant)}
		if found := validateRouteReference(s, subject, ".tenant", tenant, spec.HomeRegions); found != nil {
			return found
		}
	}
	return nil
}

// validateRouteReference checks that the service or tenant of a route exists and that its home
// regions include those of the route.
func validateRouteReference(s *core.Snapshot, subject key, field string, reference key, homeRegions []core.Region) *violation {
	allowed, ok := homeRegionsOf(s, reference)
	if !ok {
		return &violation{
			kind:                 core.NoteReference,
			subject:              subject,
			field:                field,
			reference:            reference,
			requirement:          "must be a " + string(reference.kind) + " of the configuration",
			referenceRequirement: referencedRequirement,
		}
	}
	if !isWithin(homeRegions, allowed) {
		return &violation{
			kind:                 core.NoteRegion,
			subject:              subject,
			field:                ".homeRegions",
			reference:            reference,
			requirement:          "must be within the home regions of the route's " + string(reference.kind),
			referenceRequirement: homeRegionsRequirement,
		}
	}
	return nil
}

// matchKey is a combination that only one route may match.
type matchKey struct {
	host       string
	pathPrefix string
	tenant     core.TenantName
	method     string
}

func validateOverlap(s *core.Snapshot, sorted bool) *violation {
	owners := make(map[matchKey]core.RouteName, len(s.Routes))
	for name := range namesOf(s.Routes, sorted) {
		spec := s.Routes[name]
		for _, method := range spec.Methods {
			m := matchKey{
				host:       spec.Host,
				pathPrefix: spec.PathPrefix,
				tenant:     spec.Tenant,
				method:     method,
			}
			if owner, taken := owners[m]; taken {
				return &violation{
					kind:                 core.NoteOverlap,
					subject:              key{kindRoute, string(name)},
					reference:            key{kindRoute, string(owner)},
					requirement:          overlapRequirement,
					referenceRequirement: overlapRequirement,
				}
			}
			owners[m] = name
		}
	}
	return nil
}

func validateLimits(s *core.Snapshot, sorted bool) *violation {
	for name := range namesOf(s.Limits, sorted) {
		spec := s.Limits[name]
		reference, field := key{kindRoute, string(spec.Route)}, ".route"
		if spec.Route == "" {
			reference, field = key{kindTenant, string(spec.Tenant)}, ".tenant"
		}
		if _, ok := homeRegionsOf(s, reference); !ok {
			return &violation{
				kind:                 core.NoteReference,
				subject:              key{kindLimit, name},
				field:                field,
				reference:            reference,
				requirement:          "must be a " + string(reference.kind) + " of the configuration",
				referenceRequirement: referencedRequirement,
			}
		}
	}
	return nil
}
