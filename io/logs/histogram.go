package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// histogramBounds are the upper bounds of the buckets, in steps of 1, 2 and 5.
var histogramBounds = [...]time.Duration{
	time.Millisecond,
	2 * time.Millisecond,
	5 * time.Millisecond,
	10 * time.Millisecond,
	20 * time.Millisecond,
	50 * time.Millisecond,
	100 * time.Millisecond,
	200 * time.Millisecond,
	500 * time.Millisecond,
	time.Second,
	2 * time.Second,
	5 * time.Second,
	10 * time.Second,
}

// Histogram counts durations in fixed buckets. Its zero value is ready for use, and it is safe for
// concurrent use.
type Histogram struct {
	// counts has one bucket more than histogramBounds, for longer durations.
	counts [len(histogramBounds) + 1]atomic.Int64
	sum    atomic.Int64
}

// Observe counts a duration.
func (h *Histogram) Observe(d time.Duration) {
	i := 0
	for i < len(histogramBounds) && d > histogramBounds[i] {
		i++
	}
	h.counts[i].Add(1)
	h.sum.Add(int64(d))
}

// Write writes one line for each bucket with the number of durations up to its bound, then the
// number of all durations and their sum in milliseconds.
func (h *Histogram) Write(w io.Writer, name string) {
	total := int64(0)
	for i, bound := range histogramBounds {
		total += h.counts[i].Load()
		fmt.Fprintf(w, "%s.upTo%d %d\n", name, bound.Milliseconds(), total)
	}
	total += h.counts[len(histogramBounds)].Load()
	fmt.Fprintf(w, "%s.count %d\n%s.sum %d\n", name, total, name, time.Duration(h.sum.Load()).Milliseconds())
}
