package admit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// rateLimitBurst is the time whose requests may start at once under the limit that the upstream names.
	rateLimitBurst = 250 * time.Millisecond
	// minRateLimit keeps some requests going to an upstream that takes nearly none, since only an answer
	// can say that the limit has ended. In requests a second.
	minRateLimit = 0.5
	// maxRateLimit is more than any upstream can serve; a higher limit bounds nothing.
	maxRateLimit = 1_000_000
	// rateLimitHold is how long a limit holds on without being named, since not every answer of an
	// upstream may name it.
	rateLimitHold = time.Second
	// minGrantWait keeps rounding errors from scheduling grants at once.
	minGrantWait = 100 * time.Microsecond
)

// RateReport is what an answer of the upstream says of the requests that it takes.
type RateReport struct {
	// Instance is the process that answered, "" if upstreams do not register themselves.
	Instance string
	// PerSecond is not negative; it is valid if HasLimit is set.
	PerSecond float64
	HasLimit  bool
	// SentAt is the time at which the request was passed on.
	SentAt time.Time
}

// rateLimit bounds the requests that start by the limit that the upstream names.
type rateLimit struct {
	// instance is the process to which the other fields belong.
	instance string
	// hasReport is set once an answer has arrived here.
	hasReport bool
	// limiter is nil if there is no limit.
	limiter *rate.Limiter
	// perSecond is the limit as the upstream named it, valid if limiter is not nil.
	perSecond float64
	// namedAt is the time of the latest answer that named the limit.
	namedAt time.Time
}

// RecordRate records what the upstream says of the requests that it takes. isChanged tells whether its
// limit differs from the one before. The wakes are valid until the next call.
func (c *Controller) RecordRate(now time.Time, report RateReport) (isChanged bool, wakes []Wake) {
	c.wakes = c.wakes[:0]
	if c.config.IsRegistered && (c.upstream == nil || c.upstream.Instance != report.Instance) {
		return false, nil
	}
	isChanged = c.rateLimit.record(now, report)
	if isChanged {
		c.grant(now)
	}
	return isChanged, c.wakes
}

// AdoptRate records the limit that an instance has named in an answer to another host. It counts until the
// first answer arrives here, so that the limit outlives a restart of the gatekeeper.
func (c *Controller) AdoptRate(now time.Time, instance string, perSecond float64) (isChanged bool) {
	if c.upstream == nil || c.upstream.Instance != instance || c.rateLimit.hasReport || c.rateLimit.limiter != nil {
		return false
	}
	return c.rateLimit.set(now, perSecond)
}

// RateLimit returns the limit that the upstream names, in requests a second; ok is false if it names none.
func (c *Controller) RateLimit() (perSecond float64, ok bool) {
	return c.rateLimit.perSecond, c.rateLimit.limiter != nil
}

func (l *rateLimit) record(now time.Time, report RateReport) (isChanged bool) {
	l.hasReport = true
	if report.HasLimit && report.PerSecond <= maxRateLimit {
		return l.set(now, report.PerSecond)
	}
	// The answer to a request that was passed on before the limit was named may be older than it.
	if l.limiter == nil || !report.SentAt.After(l.namedAt) || now.Sub(l.namedAt) < rateLimitHold {
		return false
	}
	l.limiter = nil
	return true
}

// set sets the limit and keeps what was counted towards it.
func (l *rateLimit) set(now time.Time, named float64) (isChanged bool) {
	isChanged = l.limiter == nil || l.perSecond != named
	l.perSecond, l.namedAt = named, now
	perSecond := max(named, minRateLimit)
	burst := max(int(math.Ceil(perSecond*rateLimitBurst.Seconds())), 1)
	switch {
	case l.limiter == nil:
		l.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
	case isChanged:
		l.limiter.SetLimitAt(now, rate.Limit(perSecond))
		l.limiter.SetBurstAt(now, burst)
	}
	return isChanged
}

// setInstance ends the limit if another process has taken the place of the one that named it.
func (l *rateLimit) setInstance(instance string) {
	if l.instance != instance {
		*l = rateLimit{
			instance: instance,
		}
	}
}

// allows tells whether a request may start now.
func (l *rateLimit) allows(now time.Time) bool {
	return l.limiter == nil || l.limiter.TokensAt(now) >= 1
}

// count counts the start of a request.
func (l *rateLimit) count(now time.Time) {
	if l.limiter != nil {
		l.limiter.AllowN(now, 1)
	}
}

// remaining returns how many requests may start now, valid with a limit.
func (l *rateLimit) remaining(now time.Time) int {
	return max(int(l.limiter.TokensAt(now)), 0)
}

// wait returns how long a request waits until it and those ahead of it have started.
func (l *rateLimit) wait(now time.Time, ahead int) time.Duration {
	if l.limiter == nil {
		return 0
	}
	missing := float64(ahead+1) - l.limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(l.limiter.Limit()) * float64(time.Second))
}
