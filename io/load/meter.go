package load

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"verbenaway/core"
)

const (
	maxLatency        = 2 * time.Minute
	significantDigits = 3
	maxRecordedErrors = 5
)

// Counts holds the numbers of requests by outcome.
type Counts struct {
	Requests int64
	OK       int64
	Refused  int64
	Failed   int64
	Wrong    int64
	Cut      int64
	// Broken counts attempts as Result.Broken does, Attempts all attempts.
	Broken   int64
	Attempts int64
	// Kinds counts the refused requests by error kind.
	Kinds map[core.ErrorKind]int64
}

// NotOK returns the number of requests with an outcome other than OK.
func (c Counts) NotOK() int64 {
	return c.Requests - c.OK
}

// Recorder counts the results of a run or of one phase of it.
type Recorder struct {
	mu          sync.Mutex
	counts      Counts
	latency     *hdrhistogram.Histogram            // of requests with outcome OK, in microseconds
	byTemplate  map[string]*hdrhistogram.Histogram // the same by name of the template
	orders      map[string]Result                  // by idempotency key
	errors      []string
	maxLateness time.Duration
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		counts: Counts{
			Kinds: map[core.ErrorKind]int64{},
		},
		latency:    newHistogram(),
		byTemplate: map[string]*hdrhistogram.Histogram{},
		orders:     map[string]Result{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

// Record adds the result of one request. The key is empty except for orders; lateness is the
// delay between the intended start of the request and its sending.
func (r *Recorder) Record(template RequestTemplate, key string, result Result, latency, lateness time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Requests++
	r.counts.Attempts += int64(result.Attempts)
	r.counts.Broken += int64(result.Broken)
	r.maxLateness = max(r.maxLateness, lateness)
	switch result.Outcome {
	case OK:
		r.counts.OK++
		r.recordLatency(template.Name, latency)
	case Refused:
		r.counts.Refused++
		r.counts.Kinds[result.Kind]++
	case Wrong:
		r.counts.Wrong++
	case Cut:
		r.counts.Cut++
	default:
		r.counts.Failed++
	}
	if result.Err != nil && len(r.errors) < maxRecordedErrors {
		r.errors = append(r.errors, fmt.Sprintf("%s to %s: %v", template.Name, result.Entry, result.Err))
	}
	if key != "" {
		r.orders[key] = result
	}
}

func (r *Recorder) recordLatency(name string, latency time.Duration) {
	value := min(max(latency.Microseconds(), 1), maxLatency.Microseconds())
	_ = r.latency.RecordValue(value)
	histogram := r.byTemplate[name]
	if histogram == nil {
		histogram = newHistogram()
		r.byTemplate[name] = histogram
	}
	_ = histogram.RecordValue(value)
}

// Counts returns a copy of the counts.
func (r *Recorder) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.counts
	counts.Kinds = make(map[core.ErrorKind]int64, len(r.counts.Kinds))
	for kind, n := range r.counts.Kinds {
		counts.Kinds[kind] = n
	}
	return counts
}

// Errors returns the first maxRecordedErrors errors.
func (r *Recorder) Errors() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string{}, r.errors...)
}

// Orders returns the results of the orders by idempotency key.
func (r *Recorder) Orders() map[string]Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	orders := make(map[string]Result, len(r.orders))
	for key, result := range r.orders {
		orders[key] = result
	}
	return orders
}

// Percentile returns a percentile, such as the 99th for 99, of the latencies of the requests
// with outcome OK.
func (r *Recorder) Percentile(percent float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.latency.ValueAtQuantile(percent)) * time.Microsecond
}

// Line returns counts and latencies as key=value pairs.
func (r *Recorder) Line() string {
	counts := r.Counts()
	var line strings.Builder
	fmt.Fprintf(&line, "requests=%d ok=%d refused=%d failed=%d wrong=%d cut=%d broken=%d sends=%d",
		counts.Requests, counts.OK, counts.Refused, counts.Failed, counts.Wrong, counts.Cut, counts.Broken, counts.Attempts)
	kinds := make([]string, 0, len(counts.Kinds))
	for kind := range counts.Kinds {
		kinds = append(kinds, string(kind))
	}
	sort.Strings(kinds)
	for _, kind := range kinds {
		fmt.Fprintf(&line, " refused.%s=%d", kind, counts.Kinds[core.ErrorKind(kind)])
	}
	for _, percent := range []float64{50, 90, 99, 99.9, 100} {
		fmt.Fprintf(&line, " p%sMs=%s", strings.ReplaceAll(fmt.Sprint(percent), ".", ""), formatMs(r.Percentile(percent)))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(r.byTemplate))
	for name := range r.byTemplate {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		p99 := time.Duration(r.byTemplate[name].ValueAtQuantile(99)) * time.Microsecond
		fmt.Fprintf(&line, " %s.p99Ms=%s", name, formatMs(p99))
	}
	fmt.Fprintf(&line, " maxLateMs=%s", formatMs(r.maxLateness))
	return line.String()
}

func formatMs(duration time.Duration) string {
	return fmt.Sprintf("%.3f", float64(duration)/float64(time.Millisecond))
}

// Meter records the results of a whole run and of its current phase. A request belongs to the
// phase in which it was started.
type Meter struct {
	All *Recorder

	mu    sync.Mutex
	phase *Recorder
}

// NewMeter returns a meter with an empty first phase.
func NewMeter() *Meter {
	return &Meter{
		All:   NewRecorder(),
		phase: NewRecorder(),
	}
}

// BeginPhase starts a new phase and returns its recorder.
func (m *Meter) BeginPhase() *Recorder {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.phase = NewRecorder()
	return m.phase
}

func (m *Meter) currentPhase() *Recorder {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.phase
}
