package note

import (
	"fmt"
	"slices"
	"strconv"

	"verbenaway/core"
)

// checkNote checks each field of a note on its own and that no resource is listed twice.
func checkNote(parsed *core.Note) error {
	c := &checker{
		paths: map[string]string{},
	}
	c.length("comment", parsed.Comment, 0, maxCommentBytes)
	c.resources("add", parsed.Add)
	c.resources("change", parsed.Change)
	c.withdraw(parsed.Withdraw)
	c.zones("takeOut", parsed.TakeOut)
	c.zones("bringBack", parsed.BringBack)
	return c.result()
}

// CheckResources checks each field of the resources on its own and that no resource is
// listed twice. Errors are of type *Error with the kind noteField.
func CheckResources(path string, resources core.Resources) error {
	c := &checker{
		paths: map[string]string{},
	}
	c.resources(path, resources)
	return c.result()
}

// checker validates fields and keeps the first error.
type checker struct {
	err *Error
	// paths maps "kind/name" to the path where the resource is listed.
	paths map[string]string
}

func (c *checker) result() error {
	if c.err == nil {
		return nil
	}
	return c.err
}

func (c *checker) fail(path, value, requirement string) {
	if c.err == nil {
		c.err = fieldError(path, value, requirement)
	}
}

func (c *checker) resources(path string, resources core.Resources) {
	for i, spec := range resources.Regions {
		c.region(itemPath(path, "region", i), spec)
	}
	for i, spec := range resources.Services {
		c.service(itemPath(path, "service", i), spec)
	}
	for i, spec := range resources.Routes {
		c.route(itemPath(path, "route", i), spec)
	}
	for i, spec := range resources.Tenants {
		tenantPath := itemPath(path, "tenant", i)
		c.uniqueName(tenantPath+".name", "tenant", string(spec.Name))
		c.homeRegions(tenantPath, spec.HomeRegions)
	}
	for i, spec := range resources.Limits {
		c.limit(itemPath(path, "limit", i), spec)
	}
}

func (c *checker) region(path string, spec core.RegionSpec) {
	c.uniqueName(path+".name", "region", string(spec.Name))
	if len(spec.AvailabilityZones) == 0 || len(spec.AvailabilityZones) > maxListItems {
		c.fail(path+".availabilityZones", "", fmt.Sprintf("must list 1 to %d names", maxListItems))
	}
	checkNames(c, path+".availabilityZones", spec.AvailabilityZones)
	c.integer(path+".crossRegionBytesPerSecond", spec.CrossRegionBytesPerSecond, 0, maxCrossRegionBytesPerSecond)
}

func (c *checker) service(path string, spec core.ServiceSpec) {
	c.uniqueName(path+".name", "service", string(spec.Name))
	c.integer(path+".slots", int64(spec.Slots), 1, maxSlots)
	c.integer(path+".connections", int64(spec.Connections), 1, maxConnections)
	c.integer(path+".coldSlots", int64(spec.ColdSlots), 1, maxSlots)
	c.integer(path+".reservedSlots", int64(spec.ReservedSlots), 0, maxSlots)
	c.duration(path+".warmUp", spec.WarmUp, 0, maxWarmUp)
	if spec.Connections < spec.Slots {
		c.fail(path+".connections", strconv.Itoa(spec.Connections), "must not be less than slots")
	}
	if spec.ColdSlots > spec.Slots {
		c.fail(path+".coldSlots", strconv.Itoa(spec.ColdSlots), "must not be more than slots")
	}
	if spec.ReservedSlots >= spec.Slots {
		c.fail(path+".reservedSlots", strconv.Itoa(spec.ReservedSlots), "must be less than slots")
	}
	c.homeRegions(path, spec.HomeRegions)
}

func (c *checker) route(path string, spec core.RouteSpec) {
	c.uniqueName(path+".name", "route", string(spec.Name))
	if len(spec.Host) > maxHostBytes || !hostPattern.MatchString(spec.Host) {
		c.fail(path+".host", strconv.Quote(spec.Host), "must be a host name in lower case without port")
	}
	if len(spec.PathPrefix) > maxPathBytes || !isCanonicalPathPrefix(spec.PathPrefix) {
		c.fail(path+".pathPrefix", strconv.Quote(spec.PathPrefix), pathPrefixRequirement)
	}
	if len(spec.Methods) == 0 {
		c.fail(path+".methods", "", "must list at least one method")
	}
	for i, method := range spec.Methods {
		if !slices.Contains(allowedMethods, method) {
			c.fail(fmt.Sprintf("%s.methods[%d]", path, i), strconv.Quote(method), methodsRequirement)
		}
	}
	checkDistinct(c, path+".methods", spec.Methods)
	if spec.Tenant != "" {
		c.name(path+".tenant", string(spec.Tenant))
	}
	c.name(path+".service", string(spec.Service))
	if !slices.Contains(allowedClasses, spec.Class) {
		c.fail(path+".class", strconv.Quote(string(spec.Class)), classesRequirement)
	}
	c.duration(path+".timeout", spec.Timeout, minTimeout, maxTimeout)
	c.homeRegions(path, spec.HomeRegions)
}

func (c *checker) limit(path string, spec core.LimitSpec) {
	c.uniqueName(path+".name", "limit", spec.Name)
	switch {
	case (spec.Route == "") == (spec.Tenant == ""):
		c.fail(path, "", "must set exactly one of route and tenant")
	case spec.Route != "":
		c.name(path+".route", string(spec.Route))
	default:
		c.name(path+".tenant", string(spec.Tenant))
	}
	// The negated comparison also rejects NaN.
	if !(spec.RequestsPerSecond >= minRequestsPerSecond && spec.RequestsPerSecond <= maxRequestsPerSecond) {
		c.fail(path+".requestsPerSecond", fmt.Sprint(spec.RequestsPerSecond), rateRequirement)
	}
	c.integer(path+".burst", int64(spec.Burst), 1, maxBurst)
	c.integer(path+".concurrent", int64(spec.Concurrent), 1, maxConcurrentRequests)
}

func (c *checker) withdraw(listed core.ResourceNames) {
	checkWithdrawn(c, "region", listed.Regions)
	checkWithdrawn(c, "service", listed.Services)
	checkWithdrawn(c, "route", listed.Routes)
	checkWithdrawn(c, "tenant", listed.Tenants)
	checkWithdrawn(c, "limit", listed.Limits)
}

func checkWithdrawn[T ~string](c *checker, kind string, listed []T) {
	for i, name := range listed {
		c.uniqueName(itemPath("withdraw", kind, i), kind, string(name))
	}
}

// zones checks a list of availability zones such as takeOut. No two lists may share a zone.
func (c *checker) zones(path string, zones []core.AvailabilityZone) {
	for i, zone := range zones {
		c.uniqueName(fmt.Sprintf("%s[%d]", path, i), "availabilityZone", string(zone))
	}
}

// uniqueName checks the name of a resource and that the document lists it only once.
func (c *checker) uniqueName(path, kind, name string) {
	c.name(path, name)
	key := kind + "/" + name
	if first, ok := c.paths[key]; ok {
		c.fail(path, strconv.Quote(name), "must not repeat "+first)
		return
	}
	c.paths[key] = path
}

func (c *checker) name(path, name string) {
	if !namePattern.MatchString(name) {
		c.fail(path, strconv.Quote(name), nameRequirement)
	}
}

func (c *checker) homeRegions(parent string, regions []core.Region) {
	path := parent + ".homeRegions"
	if len(regions) > maxListItems {
		c.fail(path, "", fmt.Sprintf("must list at most %d regions", maxListItems))
	}
	checkNames(c, path, regions)
}

func (c *checker) integer(path string, value, low, high int64) {
	if value < low || value > high {
		c.fail(path, strconv.FormatInt(value, 10), fmt.Sprintf("must be from %d to %d", low, high))
	}
}

func (c *checker) duration(path string, value, low, high core.Duration) {
	if value < low || value > high {
		c.fail(path, durationText(value), fmt.Sprintf("must be from %s to %s", durationText(low), durationText(high)))
	}
}

func (c *checker) length(path, value string, low, high int) {
	if len(value) < low || len(value) > high {
		c.fail(path, fmt.Sprintf("%d bytes", len(value)), fmt.Sprintf("must have %d to %d bytes", low, high))
	}
}

// checkNames checks that the names in a list are valid and distinct.
func checkNames[T ~string](c *checker, path string, listed []T) {
	for i, name := range listed {
		c.name(fmt.Sprintf("%s[%d]", path, i), string(name))
	}
	checkDistinct(c, path, listed)
}

func checkDistinct[T ~string](c *checker, path string, listed []T) {
	seen := make(map[T]bool, len(listed))
	for i, name := range listed {
		if seen[name] {
			c.fail(fmt.Sprintf("%s[%d]", path, i), strconv.Quote(string(name)), "must not repeat an earlier item")
		}
		seen[name] = true
	}
}

func itemPath(path, kind string, index int) string {
	return fmt.Sprintf("%s.%s[%d]", path, kind, index)
}
