package quota

import (
	"time"

	"verbenaway/core"
)

// Bucket holds the permits of a tenant that one granter can hand out. The zero value is ready for use.
type Bucket struct {
	level float64
	// filledAt is the time up to which level is complete, zero before the first use.
	filledAt time.Time
}

// Fill describes the supply of a bucket.
type Fill struct {
	Standing Standing
	Spec     core.QuotaSpec
	Bounds   Bounds
	// Zones is the number of zones among which the quota is divided, at least 1.
	Zones int
	// Share reduces rate and savings of a granter that may have been replaced, from 0 to 1.
	Share float64
}

// Grant hands out up to want permits. If it grants none, retryAfter is the time until the next one, 0 if
// there is none to be expected.
func (b *Bucket) Grant(now time.Time, fill Fill, want int) (granted int, retryAfter time.Duration) {
	b.fill(now, fill)
	if !fill.Standing.IsGranter || fill.Spec.IsUnlimited() {
		return 0, 0
	}
	granted = max(min(want, int(b.level)), 0)
	b.level -= float64(granted)
	if granted > 0 {
		return granted, 0
	}
	rate := fill.Bounds.rate(fill.Spec) / float64(fill.Zones) * fill.Share
	if rate <= 0 {
		return 0, 0
	}
	wait := time.Duration(min((1-b.level)/rate, maxRetryAfter.Seconds()) * float64(time.Second))
	return 0, max(wait, fill.Standing.From.Sub(now))
}

// Level returns the number of permits left.
func (b *Bucket) Level(now time.Time, fill Fill) int {
	b.fill(now, fill)
	return int(b.level)
}

func (b *Bucket) fill(now time.Time, fill Fill) {
	if !fill.Standing.IsGranter {
		b.level, b.filledAt = 0, now
		return
	}
	from := fill.Standing.From
	if b.filledAt.Before(from) {
		b.level, b.filledAt = 0, from
		if !fill.Standing.ReducedUntil.IsZero() {
			b.level = fill.Bounds.startLevel(fill.Zones)
		}
	}
	if now.After(b.filledAt) {
		rate := fill.Bounds.rate(fill.Spec) / float64(fill.Zones) * fill.Share
		full := now.Sub(b.filledAt)
		reduced := max(min(fill.Standing.ReducedUntil.Sub(b.filledAt), full), 0)
		b.level += rate * (full - reduced + time.Duration(startShare*float64(reduced))).Seconds()
		b.filledAt = now
	}
	// A successor has savings of its own.
	b.level = min(b.level, fill.Share*fill.Bounds.savings(fill.Spec, fill.Zones)/float64(fill.Zones))
}
