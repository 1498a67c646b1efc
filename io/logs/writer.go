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
	// PlainPerSecond bounds the lines about requests that went well; 0 means
	// DefaultPlainPerSecond.
	PlainPerSecond int
	// FaultsPerSecond bounds the lines about refusals and failures; 0 means
	// DefaultFaultsPerSecond.
	FaultsPerSecond int
}

// The bounds of the volume of logs: about 20 KB/s at 200 bytes a line.
const (
	DefaultPlainPerSecond  = 20
	DefaultFaultsPerSecond = 80
	// bufferedLines bounds the lines that wait for a slow reader of the output.
	bufferedLines = 1024
	// reportInterval spaces the lines about lines that were left out.
	reportInterval = time.Second
)

// line is one line before it is formatted. Exactly one of the pointers is set.
type line struct {
	at       time.Time
	event    *core.Event
	decision *core.Decision
}

// Writer writes lines. It implements core.DecisionLog, core.Journal and
// core.Service; its methods may be
// called from many goroutines.
type Writer struct {
	// Dropped counts the lines that were left out.
	Dropped atomic.Int64

	config Config
	logger *log.Logger
	plain  *rate.Limiter
	faults *rate.Limiter
	lines  chan line
	stop   chan struct{}
	done   chan struct{}
}

// New returns a writer that keeps lines until Start.
func New(config Config) *Writer {
	if config.PlainPerSecond <= 0 {
		config.PlainPerSecond = DefaultPlainPerSecond
	}
	if config.FaultsPerSecond <= 0 {
		config.FaultsPerSecond = DefaultFaultsPerSecond
	}
	return &Writer{
		config: config,
		logger: &log.Logger{
			Handler: logfmt.New(config.Out),
			Level:   log.InfoLevel,
		},
		plain:  rate.NewLimiter(rate.Limit(config.PlainPerSecond), config.PlainPerSecond),
		faults: rate.NewLimiter(rate.Limit(config.FaultsPerSecond), config.FaultsPerSecond),
		lines:  make(chan line, bufferedLines),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
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

// Stop implements core.Service. It writes what waits and gives up with ctx.
func (w *Writer) Stop(ctx context.Context) error {
	close(w.stop)
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Record implements core.Journal. Such lines are few and have no rate.
func (w *Writer) Record(event core.Event) {
	w.add(line{
		event: &event,
	})
}

// RecordDecision implements core.DecisionLog.
func (w *Writer) RecordDecision(decision core.Decision) {
	limiter := w.faults
	if isPlain(decision.Kind) {
		limiter = w.plain
	}
	if !limiter.AllowN(w.config.Clock.Now(), 1) {
		w.Dropped.Add(1)
		return
	}
	w.add(line{
		decision: &decision,
	})
}

// isPlain tells whether a decision is one that every request passes.
func isPlain(kind core.DecisionKind) bool {
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
				w.report(l.at, dropped-reported)
				reported, reportedAt = dropped, l.at
			}
		case <-w.stop:
			w.flush()
			return
		}
	}
}

// flush writes the lines that wait.
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
		w.put(l.at, eventFields(l.event), string(l.event.Kind))
		return
	}
	w.put(l.at, decisionFields(l.decision), string(l.decision.Kind))
}

// report says how many lines were left out since the last such line.
func (w *Writer) report(at time.Time, count int64) {
	w.put(at, log.Fields{
		"count": count,
	}, "linesDropped")
}

// put writes one line. An error of the output cannot be reported anywhere.
func (w *Writer) put(at time.Time, fields log.Fields, message string) {
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
