package proxy

import (
	"bytes"
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
	"verbenaway/core/route"
)

// notForwarded holds the headers of a caller that end at the entry, by canonical name.
var notForwarded = headerSet(hopHeaders, daemonHeaders, []string{
	"Content-Length",
	"Expect",
	"Host",
	HeaderBootID,
	HeaderError,
	HeaderLoad,
	HeaderOutcome,
	HeaderShed,
})

// prepare reads from the request all that decides its way, and the body if it is small. A
// kind other than "" means that the request is refused, and the text says why.
func (c *call) prepare() (core.Kind, string) {
	snapshot, kind := c.entry.config.Config.Snapshot()
	if snapshot == nil {
		return kind, "the daemon does not serve yet"
	}
	c.view = c.entry.viewOf(snapshot)
	for _, step := range [...]func(*call) (core.Kind, string){
		(*call).checkForm,
		(*call).copyHeaders,
		(*call).countDepth,
		(*call).match,
		(*call).setDeadline,
		(*call).readBody,
	} {
		if refusal, detail := step(c); refusal != "" {
			return refusal, detail
		}
	}
	return "", ""
}

// checkForm refuses paths that an upstream may read as another path than the one that was
// matched.
func (c *call) checkForm() (core.Kind, string) {
	path := c.request.URL.Path
	if !strings.HasPrefix(path, "/") {
		return core.BadRequest, "the path does not begin with a slash"
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

// copyHeaders copies the headers that go on to the gatekeeper.
func (c *call) copyHeaders() (core.Kind, string) {
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
	if size > maxHeaderBytes {
		return core.TooLarge, fmt.Sprintf("the headers have %d bytes, at most %d are accepted", size, maxHeaderBytes)
	}
	// A header named by Connection concerns this connection only.
	for _, value := range from["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			delete(to, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	if _, ok := to["User-Agent"]; !ok {
		// An absent key would make http.Transport send its own.
		to["User-Agent"] = nil
	}
	if c.entry.config.Dialect != nil {
		c.entry.config.Dialect.NormalizeRequest(to)
	}
	c.header = to
	c.headerBytes = int64(size)
	return "", ""
}

// countDepth adds this call to the chain of calls.
func (c *call) countDepth() (core.Kind, string) {
	depth := 0
	if text := first(c.request.Header, keyDepth); text != "" {
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
	c.header[keyDepth] = depthTexts[depth]
	return "", ""
}

// claimedText is the value of HeaderClaimed.
var claimedText = []string{"true"}

// depthTexts holds the header values of all depths, which saves their allocation.
var depthTexts = func() (texts [MaxDepth + 1][]string) {
	for depth := range texts {
		texts[depth] = []string{strconv.Itoa(depth)}
	}
	return texts
}()

// match finds the route and checks that this region may serve the request. It runs again
// before another attempt if the configuration has changed.
func (c *call) match() (core.Kind, string) {
	request := c.request
	query := route.Request{
		Host:   request.Host,
		Path:   request.URL.Path,
		Method: request.Method,
		Tenant: core.TenantName(first(request.Header, keyTenant)),
	}
	match, kind := c.view.table.Match(query)
	switch kind {
	case "":
	case core.HomeRegion:
		return kind, fmt.Sprintf("tenant %q is not known in region %s", query.Tenant, c.entry.config.Self.Region)
	case core.NoUpstream:
		return kind, fmt.Sprintf("the daemon lacks service %s of route %s", match.Route.Spec.Service, match.Route.Spec.Name)
	default:
		return kind, fmt.Sprintf("no route for %s %s%s", query.Method, query.Host, query.Path)
	}
	isRelay := c.entry.config.Dialect != nil
	if !isRelay && !match.HomeRegions.Allows(c.entry.config.Self.Region) {
		return core.HomeRegion, fmt.Sprintf("region %s is not among the home regions %q of route %s",
			c.entry.config.Self.Region, match.HomeRegions, match.Route.Spec.Name)
	}
	c.route = match.Route
	c.homes = match.HomeRegions
	c.idempotent = match.Route.Spec.Idempotent
	name := match.Route.ChooseService(c.service.Name)
	service, isKnown := c.view.table.Snapshot().Services[name]
	if !isKnown {
		return core.NoUpstream, fmt.Sprintf("the daemon lacks service %s, a part of route %s", name, match.Route.Spec.Name)
	}
	c.service = service
	c.key = ""
	if !c.idempotent && !c.isClaimed && !isRelay {
		c.key = first(request.Header, keyIdempotency)
	}
	c.setHeaders()
	return "", ""
}

// setHeaders adds the headers for the gatekeeper that follow from the configuration.
func (c *call) setHeaders() {
	c.header[keyRoute] = []string{string(c.route.Spec.Name)}
	c.header[keyVersion] = []string{c.view.table.Version()}
	c.header[keySender] = c.entry.sender
	if c.isClaimed {
		c.header[keyClaimed] = claimedText
	}
	delete(c.header, keyHomeRegions)
	if !c.homes.IsUnrestricted() {
		c.header[keyHomeRegions] = []string{c.homes.String()}
	}
}

// setDeadline takes the timeout of the route or the one of the caller, whichever ends
// first.
func (c *call) setDeadline() (core.Kind, string) {
	timeout := time.Duration(c.route.Spec.Timeout)
	if dialect := c.entry.config.Dialect; dialect != nil {
		wait, ok, err := dialect.Timeout(c.request.Header)
		if err != nil {
			return core.BadRequest, err.Error()
		}
		if ok {
			timeout = min(timeout, wait)
		}
	} else if text := first(c.request.Header, keyTimeout); text != "" {
		left, err := strconv.ParseInt(text, 10, 64)
		if err != nil || left < 0 {
			return core.BadRequest, HeaderTimeout + " is not a whole number from 0"
		}
		// The comparison in milliseconds avoids an overflow of time.Duration.
		if left < timeout.Milliseconds() {
			timeout = time.Duration(left) * time.Millisecond
		}
	}
	if timeout <= 0 {
		return core.DeadlineBeforeRun, "no time is left"
	}
	c.deadline = c.entry.config.Clock.Now().Add(timeout)
	if target := time.Duration(c.route.Spec.LatencyTarget); target > 0 {
		c.target = c.began.Add(min(target, timeout))
	}
	c.ctx, c.cancel = context.WithTimeout(c.request.Context(), timeout)
	return "", ""
}

// readBody keeps a small body for further attempts and leaves a large one unread.
func (c *call) readBody() (core.Kind, string) {
	length := c.request.ContentLength
	if length == 0 || c.request.Body == nil || c.request.Body == http.NoBody {
		return "", ""
	}
	if length < 0 || length > maxBufferedBytes {
		c.stream = &streamBody{
			body:   c.request.Body,
			onRead: c.bodyMoved,
		}
		// Without full duplex the server would wait for the rest of the body before it
		// sends an answer that comes early.
		_ = c.reply.control.EnableFullDuplex()
		_ = c.reply.control.SetReadDeadline(time.Now().Add(c.left()))
		return "", ""
	}
	pool := bodyBuffers
	if length <= smallBodyBytes {
		pool = smallBuffers
	}
	c.pool, c.buffer = pool, pool.get()
	c.body = (*c.buffer)[:length]
	_ = c.reply.control.SetReadDeadline(time.Now().Add(c.left()))
	_, err := io.ReadFull(c.request.Body, c.body)
	_ = c.reply.control.SetReadDeadline(time.Time{})
	switch {
	case err == nil:
		return "", ""
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.reply.closeAfter()
		return core.DeadlineBeforeRun, "the caller did not send the whole body in time"
	case c.request.Context().Err() != nil || errors.Is(err, io.ErrUnexpectedEOF):
		c.reply.closeAfter()
		return core.Canceled, "the caller went away while sending the body"
	}
	c.reply.closeAfter()
	return core.BadRequest, "the body cannot be read: " + err.Error()
}

// bodyMoved accounts for bytes that left after the choice.
func (c *call) bodyMoved(n int, otherRegion bool) {
	if otherRegion {
		c.entry.Counters.OtherRegionBytes.Add(int64(n))
		c.entry.balancer.ChargeBytes(c.entry.config.Clock.Now(), int64(n))
	}
}

// bodyReader returns a new reader of the kept body, nil if the body is streamed.
func (c *call) bodyReader() io.ReadCloser {
	if c.stream != nil {
		return c.stream.newReader(c.choice.OtherRegion)
	}
	// http.Transport sends headers and body in one packet for readers of this type.
	return io.NopCloser(bytes.NewReader(c.body))
}
