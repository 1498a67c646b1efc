package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"verbenaway/core"
	"verbenaway/io/proxy"
	"verbenaway/io/stand"
)

// Outcome is the result of a request as its caller sees it.
type Outcome string

// Outcomes of a request.
const (
	// OK is the complete and correct answer.
	OK Outcome = "ok"
	// Refused is an answer that carries an error kind.
	Refused Outcome = "refused"
	// Failed is no answer, or a status other than 200 without an error kind.
	Failed Outcome = "failed"
	// Wrong is an answer that ended without a read error but is not the right one.
	Wrong Outcome = "wrong"
	// Cut is an answer whose body ended early with a read error.
	Cut Outcome = "cut"
)

// Result describes one request as its caller saw it.
type Result struct {
	Outcome Outcome
	// Kind is the error kind of a refusal. NotRun is true if the last attempt was refused as
	// not run or shed.
	Kind   core.ErrorKind
	NotRun bool
	// Attempts is the number of times that the request was sent.
	Attempts int
	// Broken is the number of attempts whose connection broke or timed out before the answer
	// was complete, even if a later one succeeded.
	Broken int
	// MayHaveRun is true unless each attempt was refused as not run, shed or never sent.
	MayHaveRun bool
	// Upstream is the host that ran the request, Entry the address of the last attempt.
	Upstream string
	Entry    string
	// AnsweredAt is when reading an answer with status 200 ended; zero for other answers.
	// Latencies end here, before an upload is verified.
	AnsweredAt time.Time
	Err        error
}

// resendBackoff is the backoff before the first resend; it grows linearly with each one.
const resendBackoff = 20 * time.Millisecond

// timeoutMargin is how long a caller waits beyond the timeout that it requested.
const timeoutMargin = 2 * time.Second

// SenderConfig configures a sender.
type SenderConfig struct {
	// Entries are the caller addresses of daemons, host:port.
	Entries []string
	// Resends is the maximum number of times that a request is sent again, each time through
	// the next entry, where shouldResend allows it.
	Resends int
	// IdleConnections is the maximum number of idle connections to an entry; 256 by default.
	IdleConnections int
}

// Sender sends requests as a caller and verifies the answers.
type Sender struct {
	config SenderConfig
	client *http.Client
	next   atomic.Uint64
}

// NewSender returns a sender; the caller must close it.
func NewSender(config SenderConfig) *Sender {
	if config.IdleConnections == 0 {
		config.IdleConnections = 256
	}
	return &Sender{
		config: config,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost:   config.IdleConnections,
				DisableCompression:    true,
				ExpectContinueTimeout: time.Second,
			},
		},
	}
}

// Close closes the idle connections.
func (s *Sender) Close() {
	s.client.CloseIdleConnections()
}

// Send sends a request through the next entry and resends it as shouldResend allows.
func (s *Sender) Send(ctx context.Context, template RequestTemplate, id, key string) Result {
	first := s.next.Add(1)
	var result Result
	for attempts := 0; ; {
		entry := s.config.Entries[(first+uint64(attempts))%uint64(len(s.config.Entries))]
		latest := s.SendTo(ctx, entry, template, id, key)
		attempts++
		latest.Attempts = attempts
		latest.Broken += result.Broken
		latest.MayHaveRun = latest.MayHaveRun || result.MayHaveRun
		result = latest
		if attempts > s.config.Resends || !shouldResend(template, key, result) || !sleep(ctx, time.Duration(attempts)*resendBackoff) {
			return result
		}
	}
}

// shouldResend reports whether to send a request again. A refused request is resent if it was
// not run and its error kind allows a retry; a failed or cut one if it was not run, is
// idempotent or carries an idempotency key, so that no order runs twice.
func shouldResend(template RequestTemplate, key string, result Result) bool {
	switch result.Outcome {
	case Refused:
		return result.NotRun && result.Kind.Info().Retry
	case Failed, Cut:
		return !result.MayHaveRun || template.IsIdempotent() || key != ""
	default:
		return false
	}
}

// SendTo sends a request once, to an entry or directly to an upstream.
func (s *Sender) SendTo(ctx context.Context, entry string, template RequestTemplate, id, key string) Result {
	ctx, cancel := context.WithTimeout(ctx, template.Timeout+timeoutMargin)
	defer cancel()
	result := Result{
		Attempts: 1,
		Entry:    entry,
	}
	request, err := newRequest(ctx, entry, template, id, key)
	if err != nil {
		result.Outcome, result.Err = Failed, err
		return result
	}
	response, err := s.client.Do(request)
	if err != nil {
		return unansweredResult(result, err)
	}
	defer func() {
		_ = response.Body.Close()
	}()
	return verifyAnswer(result, template, id, response)
}

func newRequest(ctx context.Context, entry string, template RequestTemplate, id, key string) (*http.Request, error) {
	address := fmt.Sprintf("http://%s%s?bytes=%d", entry, template.Path, template.AnswerBytes)
	if template.ServiceMs > 0 {
		address += "&serviceMs=" + strconv.Itoa(template.ServiceMs)
	}
	if template.Calls > 0 {
		address += "&calls=" + strconv.Itoa(template.Calls)
	}
	request, err := http.NewRequestWithContext(ctx, template.Method, address, nil)
	if err != nil {
		return nil, err
	}
	if template.UploadBytes > 0 {
		request.ContentLength = template.UploadBytes
		request.GetBody = func() (io.ReadCloser, error) {
			return io.NopCloser(stand.NewBody(id, template.UploadBytes)), nil
		}
		request.Body, _ = request.GetBody()
	}
	request.Host = template.Host
	header := request.Header
	header.Set(stand.HeaderRequestID, id)
	header.Set(proxy.HeaderTimeout, strconv.FormatInt(template.Timeout.Milliseconds(), 10))
	if key != "" {
		header.Set(proxy.HeaderIdempotencyKey, key)
	}
	if template.Tenant != "" {
		header.Set(proxy.HeaderTenant, template.Tenant)
	}
	if template.Depth > 0 {
		header.Set(proxy.HeaderDepth, strconv.Itoa(template.Depth))
	}
	if template.UploadBytes > expectContinueBytes {
		header.Set("Expect", "100-continue")
	}
	return request, nil
}

// expectContinueBytes is the body length above which requests carry Expect: 100-continue, so
// that the body is sent only once the request is admitted.
const expectContinueBytes = 64 << 10

// unansweredResult returns the result of a request without an answer. The request cannot have
// run if dialing failed.
func unansweredResult(result Result, err error) Result {
	result.Outcome = Failed
	result.Err = err
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return result
	}
	result.MayHaveRun = true
	result.Broken = 1
	return result
}

// verifyAnswer reads and verifies an answer and completes the result.
func verifyAnswer(result Result, template RequestTemplate, id string, response *http.Response) Result {
	header := response.Header
	result.Upstream = header.Get(stand.HeaderUpstream)
	result.MayHaveRun = true
	if kind := header.Get(proxy.HeaderError); kind != "" {
		_, _ = io.Copy(io.Discard, response.Body)
		result.Outcome = Refused
		result.Kind = core.ErrorKind(kind)
		result.NotRun = header.Get(proxy.HeaderOutcome) == proxy.OutcomeNotRun
		result.MayHaveRun = !result.NotRun
		result.Err = fmt.Errorf("refused: %s (%s)", kind, header.Get(proxy.HeaderOutcome))
		return result
	}
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		result.Outcome = Failed
		result.MayHaveRun = header.Get(proxy.HeaderShed) == ""
		result.NotRun = !result.MayHaveRun
		result.Err = fmt.Errorf("status %d without an error kind", response.StatusCode)
		return result
	}
	n, err := stand.CheckAnswer(id, header, response.Body)
	result.AnsweredAt = time.Now()
	switch {
	case errors.Is(err, stand.ErrWrongAnswer):
		result.Outcome = Wrong
	case err != nil:
		result.Outcome = Cut
		result.Broken = 1
	case n != template.AnswerBytes:
		result.Outcome, err = Wrong, fmt.Errorf("%w: %d bytes, requested %d", stand.ErrWrongAnswer, n, template.AnswerBytes)
	case !uploadIntact(template, id, header):
		result.Outcome, err = Wrong, fmt.Errorf("%w: upload corrupted", stand.ErrWrongAnswer)
	default:
		result.Outcome = OK
	}
	result.Err = err
	return result
}

// uploadIntact reports whether the upstream received the upload unchanged.
func uploadIntact(template RequestTemplate, id string, header http.Header) bool {
	if template.UploadBytes == 0 {
		return true
	}
	return header.Get(stand.HeaderUploadBytes) == strconv.FormatInt(template.UploadBytes, 10) &&
		header.Get(stand.HeaderUploadChecksum) == stand.Checksum(id, template.UploadBytes)
}

// sleep waits for the duration and returns false if ctx ended first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
