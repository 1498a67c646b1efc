package logs

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"golang.org/x/time/rate"

	"verbenaway/core"
)

// Config configures a Writer.
type Config struct {
	Out   io.Writer
	Clock core.Clock
	// Fields are added to each line.
	Fields log.Fields
	// RoutinePerSecond bounds the lines about requests without failures; 0 means
	// DefaultRoutinePerSecond.
	RoutinePerSecond int
	// FailuresPerSecond bounds the lines about refusals and failures; 0 means
	// DefaultFailuresPerSecond.
	FailuresPerSecond int
}

// The limits of the log volume: about 20 KB/s at 200 bytes per line.
const (
	DefaultRoutinePerSecond  = 20
	DefaultFailuresPerSecond = 80
	// maxBufferedLines bounds the lines that wait for a slow reader of the output.
	maxBufferedLines = 1024
	// reportInterval is the minimum time between reports of dropped lines.
	reportInterval = time.Second
)

// line is one line before it is formatted. Exactly one of the pointers is set.
type line struct {
	at       time.Time
	event    *core.Event
	decision *core.Decision
}

// Writer writes events and decisions as lines. It implements core.DecisionLog, core.Journal and
// core.Service and is safe for concurrent use.
type Writer struct {
	// Dropped counts the lines that exceeded the rate or the buffer.
	Dropped atomic.Int64

	config   Config
	logger   *log.Logger
	routine  *rate.Limiter
	failures *rate.Limiter
	lines    chan line
	stop     chan struct{}
	done     chan struct{}
}

// New returns a writer that buffers lines until Start.
func New(config Config) *Writer {
	if config.RoutinePerSecond <= 0 {
		config.RoutinePerSecond = DefaultRoutinePerSecond
	}
	if config.FailuresPerSecond <= 0 {
		config.FailuresPerSecond = DefaultFailuresPerSecond
	}
	return &Writer{
		config: config,
		logger: &log.Logger{
			Handler: logfmt.New(config.Out),
			Level:   log.InfoLevel,
		},
		routine:  rate.NewLimiter(rate.Limit(config.RoutinePerSecond), config.RoutinePerSecond),
		failures: rate.NewLimiter(rate.Limit(config.FailuresPerSecond), config.FailuresPerSecond),
		lines:    make(chan line, maxBufferedLines),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}
}

// Name implements core.Service.
func (w *Writer) Name() string {
	return "logs"
}

// Start implements core.Service.
func (w *Writer) Start(context.Context) error {
	go w.run()
	return nil
}

// Stop implements core.Service. It writes the buffered lines unless ctx ends first.
func (w *Writer) Stop(ctx context.Context) error {
	close(w.stop)
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Record implements core.Journal. Events are rare, so their rate is not limited.
func (w *Writer) Record(event core.Event) {
	w.add(line{
		event: &event,
	})
}

// RecordDecision implements core.DecisionLog.
func (w *Writer) RecordDecision(decision core.Decision) {
	limiter := w.failures
	if isRoutine(decision.Kind) {
		limiter = w.routine
	}
	if !limiter.AllowN(w.config.Clock.Now(), 1) {
		w.Dropped.Add(1)
		return
	}
	w.add(line{
		decision: &decision,
	})
}

// isRoutine reports whether a decision is part of the normal course of a request.
func isRoutine(kind core.DecisionKind) bool {
	switch kind {
	case core.DecisionSent, core.DecisionAdmitted, core.DecisionAnswered:
		return true
	}
	return false
}

func (w *Writer) add(l line) {
	l.at = w.config.Clock.Now()
	select {
	case w.lines <- l:
	default:
		w.Dropped.Add(1)
	}
}

// run writes lines until Stop.
func (w *Writer) run() {
	defer close(w.done)
	var reported int64
	var reportedAt time.Time
	for {
		select {
		case l := <-w.lines:
			w.write(l)
			if dropped := w.Dropped.Load(); dropped != reported && l.at.Sub(reportedAt) >= reportInterval {
				w.reportDropped(l.at, dropped-reported)
				reported, reportedAt = dropped, l.at
			}
		case <-w.stop:
			w.flush()
			return
		}
	}
}

// flush writes the buffered lines.
func (w *Writer) flush() {
	for {
		select {
		case l := <-w.lines:
			w.write(l)
		default:
			return
		}
	}
}

func (w *Writer) write(l line) {
	if l.event != nil {
		w.emit(l.at, eventFields(l.event), string(l.event.Kind))
		return
	}
	w.emit(l.at, decisionFields(l.decision), string(l.decision.Kind))
}

// reportDropped writes the number of lines dropped since the last report.
func (w *Writer) reportDropped(at time.Time, count int64) {
	w.emit(at, log.Fields{
		"count": count,
	}, "linesDropped")
}

// emit writes one line. An error of the output is ignored, since there is no other place to
// report it.
func (w *Writer) emit(at time.Time, fields log.Fields, message string) {
	for name, value := range w.config.Fields {
		fields[name] = value
	}
	_ = w.logger.Handler.HandleLog(&log.Entry{
		Logger:    w.logger,
		Fields:    fields,
		Level:     log.InfoLevel,
		Timestamp: at,
		Message:   message,
	})
}
