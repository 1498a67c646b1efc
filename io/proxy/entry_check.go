package proxy

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"verbenaway/core"
	"verbenaway/core/poison"
	"verbenaway/core/room"
	"verbenaway/core/route"
)

// notForwarded holds the headers of a request that the entry removes, by canonical name.
var notForwarded = headerSet(hopByHopHeaders, daemonHeaders, []string{
	"Content-Length",
	"Expect",
	"Host",
	HeaderBootID,
	HeaderError,
	HeaderLoad,
	HeaderOutcome,
	HeaderShed,
})

// prepare checks the request, finds its route and deadline, and reads the body if it is small. If
// it returns a kind other than "", the request is refused, and the text says why.
func (c *call) prepare() (core.ErrorKind, string) {
	snapshot, kind := c.entry.config.Config.Snapshot()
	if snapshot == nil {
		return kind, "the daemon does not serve yet"
	}
	c.view = c.entry.viewFor(snapshot)
	for _, step := range [...]func(*call) (core.ErrorKind, string){
		(*call).checkPathAndHost,
		(*call).copyHeaders,
		(*call).setDepth,
		(*call).matchRoute,
		(*call).setDeadline,
		(*call).takeQuota,
		(*call).readBody,
	} {
		if refusal, detail := step(c); refusal != "" {
			return refusal, detail
		}
	}
	return "", ""
}

// checkPathAndHost refuses paths that an upstream could resolve to another path than the one that
// was matched, and requests without a host. With a Dialect, paths are matched and passed on literally,
// and no route matches an empty host.
func (c *call) checkPathAndHost() (core.ErrorKind, string) {
	path := c.request.URL.Path
	if !strings.HasPrefix(path, "/") {
		return core.BadRequest, "the path does not begin with a slash"
	}
	if c.entry.config.Dialect != nil {
		return "", ""
	}
	if strings.Contains(path, "/.") {
		for segment := range strings.SplitSeq(path, "/") {
			if segment == "." || segment == ".." {
				return core.BadRequest, "the path has a segment . or .."
			}
		}
	}
	if c.request.Host == "" {
		return core.BadRequest, "the HTTP host is missing"
	}
	return "", ""
}

// routePath returns the path that decides on the route.
func (c *call) routePath() string {
	if c.entry.config.Dialect != nil {
		return literalPath(c.request)
	}
	return route.DecodedPath(c.request.URL)
}

// copyHeaders copies the headers that are forwarded to the gatekeeper.
func (c *call) copyHeaders() (core.ErrorKind, string) {
	from := c.request.Header
	to := make(http.Header, len(from)+8)
	size := 0
	for name, values := range from {
		for _, value := range values {
			size += len(name) + len(value)
		}
		if !notForwarded[name] {
			to[name] = values
		}
	}
	if limit := max(maxHeaderBytes, c.view.table.Snapshot().MaxHeaderBytes); size > limit {
		return core.TooLarge, fmt.Sprintf("the headers have %d bytes, at most %d are accepted", size, limit)
	}
	// Headers named by Connection are hop-by-hop headers.
	for _, value := range from["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			delete(to, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	if _, ok := to["User-Agent"]; !ok {
		// Without the key, http.Transport would send its own User-Agent.
		to["User-Agent"] = nil
	}
	if c.entry.config.Dialect != nil {
		c.entry.config.Dialect.NormalizeRequest(to)
	}
	c.header = to
	c.headerBytes = int64(size)
	return "", ""
}

// setDepth checks and sets the depth of this call in the chain of calls.
func (c *call) setDepth() (core.ErrorKind, string) {
	depth := 0
	if text := firstValue(c.request.Header, keyDepth); text != "" {
		var err error
		if depth, err = strconv.Atoi(text); err != nil || depth < 0 {
			return core.BadRequest, HeaderDepth + " is not a whole number from 0"
		}
	}
	if depth >= MaxDepth && !c.isClaimed {
		return core.DepthExceeded, fmt.Sprintf("call %d of the chain, at most %d are accepted", depth+1, MaxDepth)
	}
	if !c.isClaimed {
		depth++
	}
	c.header[keyDepth] = depthValues[depth]
	return "", ""
}

var claimedValue = []string{"true"}

// depthValues holds the values of HeaderDepth, so that requests do not allocate them.
var depthValues = func() (values [MaxDepth + 1][]string) {
	for depth := range values {
		values[depth] = []string{strconv.Itoa(depth)}
	}
	return values
}()

// matchRoute finds the route and service and checks that this region may serve the request. It is
// repeated before another attempt if the configuration has changed.
func (c *call) matchRoute() (core.ErrorKind, string) {
	for {
		kind, detail := c.matchRouteInView()
		if kind != core.NoRoute && kind != core.Unauthenticated {
			return kind, detail
		}
		// What was confirmed after the match is the configuration in force now. Only if that is the one
		// of the match, the refusal holds.
		snapshot, _ := c.entry.config.Config.Snapshot()
		if snapshot == nil || !c.view.table.Snapshot().IsBefore(snapshot) {
			return kind, detail
		}
		c.view = c.entry.viewFor(snapshot)
	}
}

func (c *call) matchRouteInView() (core.ErrorKind, string) {
	request := c.request
	c.tenant = c.identifyTenant()
	query := route.Request{
		Host:   request.Host,
		Path:   c.routePath(),
		Method: request.Method,
		Tenant: c.tenant,
	}
	match, kind := c.view.table.Match(query)
	switch kind {
	case "":
		if refusal, detail := c.checkIdentity(match.Route); refusal != "" {
			return refusal, detail
		}
	case core.HomeRegion:
		return kind, fmt.Sprintf("tenant %q is not known in region %s", query.Tenant, c.entry.config.Self.Region)
	case core.NoUpstream:
		return kind, fmt.Sprintf("the daemon lacks service %s of route %s", match.Route.Spec.Service, match.Route.Spec.Name)
	default:
		if isConfirmed := c.entry.config.IsConfirmed; isConfirmed != nil && !isConfirmed() {
			return core.SuspectView, fmt.Sprintf("no route for %s %s%s is known, and the configuration is not confirmed", query.Method, query.Host, query.Path)
		}
		return kind, fmt.Sprintf("no route for %s %s%s", query.Method, query.Host, query.Path)
	}
	hasDialect := c.entry.config.Dialect != nil
	if !hasDialect && !match.HomeRegions.Allows(c.entry.config.Self.Region) {
		return core.HomeRegion, fmt.Sprintf("region %s is not among the home regions %q of route %s",
			c.entry.config.Self.Region, match.HomeRegions, match.Route.Spec.Name)
	}
	c.route = match.Route
	c.homeRegions = match.HomeRegions
	c.idempotent = match.Route.Spec.Idempotent
	name := match.Route.ChooseService(c.service.Name)
	service, isKnown := c.view.table.Snapshot().Services[name]
	if !isKnown {
		return core.NoUpstream, fmt.Sprintf("the daemon lacks service %s, a part of route %s", name, match.Route.Spec.Name)
	}
	c.service = service
	c.key = ""
	if !c.idempotent && !c.isClaimed && !hasDialect {
		c.key = firstValue(request.Header, keyIdempotency)
	}
	c.setHeaders()
	return "", ""
}

// setHeaders sets the headers for the gatekeeper that depend on the configuration.
func (c *call) setHeaders() {
	// Gatekeepers of earlier releases know the route by its label only.
	name := c.route.Spec.Name
	c.header[keyRoute] = []string{cmp.Or(c.view.table.Snapshot().Labels[name], string(name))}
	c.header[keyVersion] = []string{c.view.table.Version()}
	c.header[keySender] = c.entry.sender
	if c.isClaimed {
		c.header[keyClaimed] = claimedValue
	}
	c.setIdentity()
	delete(c.header, keyHomeRegions)
	if !c.homeRegions.IsUnrestricted() {
		c.header[keyHomeRegions] = []string{c.homeRegions.String()}
	}
}

// setDeadline applies the shorter of the route's and the caller's timeout.
func (c *call) setDeadline() (core.ErrorKind, string) {
	timeout := time.Duration(c.route.Spec.Timeout)
	c.first.Start = c.started
	if dialect := c.entry.config.Dialect; dialect != nil {
		callerTimeout, ok, err := dialect.Timeout(c.request.Header)
		if err != nil {
			return core.BadRequest, err.Error()
		}
		if ok {
			timeout = min(timeout, callerTimeout)
			c.setFirstAttempt(callerTimeout)
		}
	} else if text := firstValue(c.request.Header, keyTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 {
			return core.BadRequest, HeaderTimeout + " is not a whole number from 0"
		}
		// Comparing milliseconds avoids an overflow of time.Duration.
		if ms < timeout.Milliseconds() {
			timeout = time.Duration(ms) * time.Millisecond
		}
	}
	if timeout <= 0 {
		return core.DeadlineBeforeRun, "no time is left"
	}
	c.deadline = c.entry.config.Clock.Now().Add(timeout)
	if target := time.Duration(c.route.Spec.LatencyTarget); target > 0 {
		c.target = c.first.Start.Add(target)
		if c.deadline.Before(c.target) {
			c.target = c.deadline
		}
	}
	c.ctx, c.cancel = context.WithTimeout(c.request.Context(), timeout)
	return "", ""
}

// setFirstAttempt finds out whether the caller has tried the request before. Its latency counts from the
// first attempt. An early call that is not started leaves this to the call that is.
func (c *call) setFirstAttempt(callerTimeout time.Duration) {
	if c.isEarly && !c.idempotent {
		return
	}
	c.callerDeadline = c.started.Add(callerTimeout)
	c.returnKey = room.ReturnKeyOf(c.request.Method, string(c.tenant), c.request.Host, c.request.RequestURI)
	if first, ok := c.entry.returns.take(c.returnKey, c.callerDeadline); ok {
		c.first = first
		c.entry.Counters.Returned.Add(1)
		return
	}
	c.first.Deadline = c.callerDeadline
}

// recordFailed remembers a request without a successful answer if its caller may try it again.
func (c *call) recordFailed() {
	if !c.callerDeadline.IsZero() && isRepeatable(c.reply.status) {
		c.entry.returns.add(c.returnKey, c.first)
	}
}

// isRepeatable reports whether a caller may repeat a request after an answer with a status, 0 if there was
// no answer. The same request would be refused again after most of the others.
func isRepeatable(status int) bool {
	switch status {
	case 0, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return status >= http.StatusInternalServerError
}

// readBody buffers a small body, so that it can be sent again, and leaves a large one unread.
func (c *call) readBody() (core.ErrorKind, string) {
	length := c.request.ContentLength
	if length == 0 || c.request.Body == nil || c.request.Body == http.NoBody {
		return "", ""
	}
	if length < 0 || length > maxBufferedBytes {
		c.streamHash = poison.NewHash(c.head())
		c.stream = &streamBody{
			body:   io.TeeReader(c.request.Body, c.streamHash),
			onRead: c.recordSentBytes,
		}
		c.removeTrailerIdentity()
		// Without full duplex, the server would read the rest of the body before it sends
		// an answer that comes earlier.
		_ = c.reply.control.EnableFullDuplex()
		_ = c.reply.control.SetReadDeadline(time.Now().Add(c.timeLeft()))
		return "", ""
	}
	pool := bodyBuffers
	if length <= smallBodyBytes {
		pool = smallBuffers
	}
	c.pool, c.buffer = pool, pool.get()
	c.body = (*c.buffer)[:length]
	_ = c.reply.control.SetReadDeadline(time.Now().Add(c.timeLeft()))
	_, err := io.ReadFull(c.request.Body, c.body)
	_ = c.reply.control.SetReadDeadline(time.Time{})
	switch {
	case err == nil:
		return "", ""
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.reply.closeConnection()
		return core.DeadlineBeforeRun, "the caller did not send the whole body in time"
	}
	// The body has a declared length, so that only the connection can have failed.
	c.reply.closeConnection()
	return core.CanceledBeforeRun, "the body cannot be read: " + err.Error()
}

// recordSentBytes counts streamed bytes to another region and charges the cross-region budget.
func (c *call) recordSentBytes(n int, otherRegion bool) {
	if otherRegion {
		c.entry.Counters.OtherRegionBytes.Add(int64(n))
		c.entry.balancer.ChargeBytes(c.entry.config.Clock.Now(), int64(n))
	}
}

// bodyReader returns a reader of the body for the current attempt.
func (c *call) bodyReader() io.ReadCloser {
	if c.stream != nil {
		return c.stream.newReader(c.choice.OtherRegion)
	}
	// For readers of this type, http.Transport sends headers and body in one packet.
	return io.NopCloser(bytes.NewReader(c.body))
}
