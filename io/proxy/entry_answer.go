package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"verbenaway/core"
	"verbenaway/core/route"
)

// notAnswered holds the headers of an answer that end at the entry, by canonical name.
var notAnswered = headerSet(hopHeaders, daemonHeaders, []string{
	HeaderBootID,
	HeaderLoad,
	HeaderShed,
})

// freeWriteBytes is the size of an answer below which no write can block for long, since
// the socket buffer takes it whole.
const freeWriteBytes = copyBytes

// reply is the way back to the caller.
type reply struct {
	w                http.ResponseWriter
	control          *http.ResponseController
	bytes            int64
	status           int
	hasWriteDeadline bool
}

func (a *reply) init(w http.ResponseWriter) {
	a.w = w
	a.control = http.NewResponseController(w)
}

// closeAfter ends the caller's connection after the answer.
func (a *reply) closeAfter() {
	a.w.Header().Set("Connection", "close")
}

// begin sends status and headers of an answer.
func (c *call) begin(status int, from http.Header) {
	to := c.reply.w.Header()
	for name, values := range from {
		if !notAnswered[name] {
			to[name] = values
		}
	}
	for _, value := range from["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			delete(to, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	if c.isLast() {
		c.reply.closeAfter()
	}
	c.reply.status = status
	c.reply.w.WriteHeader(status)
}

// write sends a piece of an answer. A caller that does not read a large answer holds the
// upstream no longer than until the deadline.
func (c *call) write(piece []byte) error {
	c.reply.bytes += int64(len(piece))
	if c.reply.bytes > freeWriteBytes && !c.reply.hasWriteDeadline {
		c.reply.hasWriteDeadline = true
		_ = c.reply.control.SetWriteDeadline(time.Now().Add(c.left()))
	}
	_, err := c.reply.w.Write(piece)
	return err
}

// end lifts the write deadline, which would else hold for the next answer on the
// connection.
func (a *reply) end() {
	if a.hasWriteDeadline {
		_ = a.control.SetWriteDeadline(time.Time{})
	}
}

// learn takes load and version from the headers of an answer.
func (c *call) learn(header http.Header) {
	c.learnLoad(first(header, keyLoad))
	if text := first(header, keyVersion); text != "" && text != c.view.table.Version() {
		if version, err := strconv.ParseUint(text, 10, 64); err == nil {
			c.entry.config.Config.ObserveVersion(c.choice.Host.Name, core.Version(version))
		}
	}
}

// learnLoad takes the load of an upstream from HeaderLoad.
func (c *call) learnLoad(text string) {
	var numbers [5]int
	count := 0
	for part := range strings.SplitSeq(text, "/") {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 || count == len(numbers) {
			return
		}
		numbers[count] = number
		count++
	}
	balancer, now := c.entry.balancer, c.entry.config.Clock.Now()
	switch count {
	case 2:
		balancer.RecordLoad(now, c.choice, numbers[0], numbers[1])
	case len(numbers):
		balancer.RecordLoadReport(now, c.choice, c.route.Spec.Name, route.LoadReport{
			InFlight:     numbers[0],
			Limit:        numbers[1],
			QueueTime:    time.Duration(numbers[2]) * time.Microsecond,
			ServiceTime:  time.Duration(numbers[3]) * time.Microsecond,
			FailureRatio: float64(numbers[4]) / permille,
		})
	}
}

// refusal returns the result that the headers of a refusal report; ok is false for an
// answer of the upstream. A kind that is not in the table comes from a newer release.
func (c *call) refusal(header http.Header, detail func() string) (result, bool) {
	kind := core.Kind(first(header, keyError))
	if kind == "" {
		return result{}, false
	}
	notRun := first(header, keyOutcome) == OutcomeNotRun
	if !notRun && kind.Info().NotRun || kind.Info().Kind != kind {
		kind = c.broken("").failure.Kind
	}
	r := failed(kind, notRun, detail())
	r.failure.ReachedUpstream = r.failure.ReachedUpstream || first(header, keyArrived) != ""
	if ms, err := strconv.ParseInt(first(header, keyRetryAfter), 10, 32); err == nil && ms > 0 {
		r.retryAfter = time.Duration(ms) * time.Millisecond
	}
	return r, true
}
