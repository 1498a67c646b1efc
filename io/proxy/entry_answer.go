package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"verbenaway/core"
	"verbenaway/core/route"
)

// notForCaller holds the headers of an answer that the entry removes, by canonical name.
var notForCaller = headerSet(hopByHopHeaders, daemonHeaders, []string{
	HeaderBootID,
	HeaderLoad,
	HeaderShed,
})

// maxNonBlockingBytes is the size up to which an answer needs no write deadline, since it fits
// into the socket buffer.
const maxNonBlockingBytes = copyBytes

// reply is the answer to the caller.
type reply struct {
	w                http.ResponseWriter
	control          *http.ResponseController
	bytes            int64
	status           int
	hasWriteDeadline bool
}

func (r *reply) init(w http.ResponseWriter) {
	r.w = w
	r.control = http.NewResponseController(w)
}

// closeConnection makes the server close the caller's connection after the answer.
func (r *reply) closeConnection() {
	r.w.Header().Set("Connection", "close")
}

func (c *call) writeHeader(status int, from http.Header) {
	c.recordNotice(from)
	to := c.reply.w.Header()
	for name, values := range from {
		if !notForCaller[name] {
			to[name] = values
		}
	}
	for _, value := range from["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			delete(to, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	if c.closesConnection() {
		c.reply.closeConnection()
	}
	c.reply.status = status
	c.reply.w.WriteHeader(status)
}

// write sends a part of an answer. The deadline of the request also applies to the write, so that
// a caller that does not read a large answer cannot occupy the upstream beyond it.
func (c *call) write(p []byte) error {
	c.reply.bytes += int64(len(p))
	if c.reply.bytes > maxNonBlockingBytes && !c.reply.hasWriteDeadline {
		c.reply.hasWriteDeadline = true
		_ = c.reply.control.SetWriteDeadline(time.Now().Add(c.timeLeft()))
	}
	_, err := c.reply.w.Write(p)
	return err
}

// countAnswer records an answer that was passed on completely.
func (c *call) countAnswer() {
	c.entry.Counters.Answers.Add(1)
	if c.reply.status < http.StatusMultipleChoices {
		c.entry.balancer.RecordAnswerBytes(c.route.Spec.Name, c.reply.bytes)
	}
	c.countTraffic(c.reply.bytes)
	c.logAnswer("", c.reply.status, "")
}

// countTraffic counts bytes that are exchanged with the chosen upstream if it is in another availability
// zone or region.
func (c *call) countTraffic(bytes int64) {
	self, counters := &c.entry.config.Self, &c.entry.Counters
	switch {
	case c.choice.OtherRegion:
		counters.OtherRegionTraffic.Add(string(c.route.Spec.Name), bytes)
	case c.choice.Host.AvailabilityZone != self.AvailabilityZone:
		counters.OtherZoneTraffic.Add(string(c.route.Spec.Name), bytes)
	}
}

// end removes the write deadline, which would otherwise apply to the next answer on the
// connection.
func (r *reply) end() {
	if r.hasWriteDeadline {
		_ = r.control.SetWriteDeadline(time.Time{})
	}
}

// recordAnswerHeaders records the load and the version from the headers of an answer.
func (c *call) recordAnswerHeaders(header http.Header) {
	c.recordLoad(firstValue(header, keyLoad), firstValue(header, keyHostLoad))
	if text := firstValue(header, keyVersion); text != "" && text != c.view.table.Version() {
		if version, err := strconv.ParseUint(text, 10, 64); err == nil {
			c.entry.config.Config.ObserveVersion(c.choice.Host.Name, core.Version(version))
		}
	}
}

// recordLoad records the load of an upstream from the values of HeaderLoad and HeaderHostLoad.
func (c *call) recordLoad(load, hostLoad string) {
	report, form := parseLoad(load, hostLoad)
	balancer, now := c.entry.balancer, c.entry.config.Clock.Now()
	switch form {
	case loadOnly:
		balancer.RecordLoad(now, c.choice, report.InFlight, report.Limit)
	case loadWithEstimate:
		balancer.RecordLoadReport(now, c.choice, c.route.Spec.Name, report)
	case loadInvalid:
	}
}

// loadForm tells what a value of HeaderLoad holds.
type loadForm int

const (
	loadInvalid loadForm = iota
	// loadOnly is the number of requests in flight and the limit.
	loadOnly
	// loadWithEstimate is a whole report; the numbers of HeaderHostLoad are 0 if that is missing.
	loadWithEstimate
)

// The counts of numbers in the forms of HeaderLoad and in HeaderHostLoad.
const (
	loadNumbers     = 2
	estimateNumbers = 5
	hostLoadNumbers = 3
)

// parseLoad parses a value of HeaderLoad and one of HeaderHostLoad, which may be "".
func parseLoad(load, hostLoad string) (route.LoadReport, loadForm) {
	// One more than there may be tells a longer report apart.
	var numbers [estimateNumbers + 1]int
	count := parseNumbers(load, numbers[:])
	report := route.LoadReport{
		InFlight:     numbers[0],
		Limit:        numbers[1],
		QueueTime:    time.Duration(numbers[2]) * time.Microsecond,
		ServiceTime:  time.Duration(numbers[3]) * time.Microsecond,
		FailureRatio: float64(numbers[4]) / permille,
	}
	switch count {
	case loadNumbers:
		return report, loadOnly
	case estimateNumbers:
	default:
		return route.LoadReport{}, loadInvalid
	}
	var host [hostLoadNumbers]int
	if parseNumbers(hostLoad, host[:]) == hostLoadNumbers {
		report.Slowness = float64(host[0]) / percent
		report.LinkRate = int64(host[1])
		report.LinkWait = time.Duration(host[2]) * time.Microsecond
	}
	return report, loadWithEstimate
}

// parseNumbers parses numbers separated by slashes, as many as there is space for, and returns their
// count, 0 if one is malformed.
func parseNumbers(text string, numbers []int) int {
	count := 0
	for part := range strings.SplitSeq(text, "/") {
		if count == len(numbers) {
			break
		}
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return 0
		}
		numbers[count] = number
		count++
	}
	return count
}

// refusal returns the result that the headers of a refusal report, or false for an answer of the
// upstream. A kind that says "not run" against the outcome, or that only a newer release knows, is
// replaced by that of a lost answer; so is Canceled while the caller waits.
func (c *call) refusal(header http.Header, detail func() string) (result, bool) {
	kind := core.ErrorKind(firstValue(header, keyError))
	if kind == "" {
		return result{}, false
	}
	notRun := firstValue(header, keyOutcome) == OutcomeNotRun
	isCallerWaiting := c.ctx.Err() == nil
	if !notRun && kind.Info().NotRun || kind.Info().Kind != kind || kind == core.Canceled && isCallerWaiting {
		kind = c.lostAnswer("").failure.Kind
	}
	r := failedAttempt(kind, notRun, detail())
	r.failure.ReachedUpstream = r.failure.ReachedUpstream || firstValue(header, keyArrived) != ""
	r.crashed = firstValue(header, keyCrashed)
	if ms, err := strconv.ParseInt(firstValue(header, keyRetryAfter), 10, 32); err == nil && ms > 0 {
		r.retryAfter = time.Duration(ms) * time.Millisecond
	}
	return r, true
}
