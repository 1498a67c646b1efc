package store

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/dghubble/sling"

	"verbenaway/core"
	"verbenaway/io/pace"
)

// maxHeaderBytes bounds the head of an answer, which may otherwise grow until the memory ends.
const maxHeaderBytes = 64 << 10

// maxTransferTime bounds the transfer of an answer that keeps arriving. The largest one takes half of
// it at 10 Mbit/s.
const maxTransferTime = 7 * time.Second

// Fetcher reads from a store over HTTP and maps failures to error kinds. It is safe for
// concurrent use.
type Fetcher struct {
	config Config
	http   *http.Client
	base   *sling.Sling
}

// NewFetcher returns a fetcher; it connects on first use.
func NewFetcher(config Config) Fetcher {
	if config.Timeout == 0 {
		config.Timeout = defaultTimeout
	}
	if config.Dial == nil {
		dialer := net.Dialer{
			Timeout: config.Timeout,
		}
		config.Dial = dialer.DialContext
	}
	client := &http.Client{
		Transport: pace.Transport(&http.Transport{
			DialContext:            config.Dial,
			MaxIdleConnsPerHost:    4,
			IdleConnTimeout:        90 * time.Second,
			MaxResponseHeaderBytes: maxHeaderBytes,
		}),
	}
	return Fetcher{
		config: config,
		http:   client,
		base:   sling.New().Client(client).Base(config.Address),
	}
}

// Answer is an answer with status 200, 204 or 404.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Get returns an answer with status 200, 204 or 404; every other outcome is an error. The answer has
// to begin within Config.Timeout plus wait.
func (f *Fetcher) Get(ctx context.Context, path string, query any, wait time.Duration) (Answer, error) {
	ctx, _, cancel := pace.WithLimits(ctx, pace.Limits{
		Begin: f.config.Timeout + wait,
		Idle:  f.config.Timeout,
		Total: maxTransferTime,
	})
	defer cancel()
	builder := f.base.New().Get(path)
	if query != nil {
		builder = builder.QueryStruct(query)
	}
	request, err := builder.Request()
	if err != nil {
		return Answer{}, core.Errorf(core.StoreMalformed, "%s: %v", path, err)
	}
	response, err := f.http.Do(request.WithContext(ctx))
	if err != nil {
		return Answer{}, core.Errorf(core.StoreDown, "%s: %v", path, withoutURL(err))
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, core.Errorf(core.StoreDown, "%s: %v after %d bytes of the answer", path, err, len(body))
	}
	switch {
	case len(body) > maxAnswerBytes:
		return Answer{}, core.Errorf(core.StoreTooLarge, "%s: the answer is larger than %d bytes", path, maxAnswerBytes)
	case response.StatusCode == http.StatusGone:
		return Answer{}, core.Errorf(core.StoreCompacted, "%s: the requested history has been compacted", path)
	case response.StatusCode == http.StatusTooManyRequests:
		return Answer{}, core.Errorf(core.StoreBusy, "%s: rate limit exceeded", path)
	case response.StatusCode >= http.StatusInternalServerError:
		return Answer{}, core.Errorf(core.StoreDown, "%s: status %d", path, response.StatusCode)
	case response.StatusCode == http.StatusOK, response.StatusCode == http.StatusNoContent,
		response.StatusCode == http.StatusNotFound:
		return Answer{
			Status: response.StatusCode,
			Header: response.Header,
			Body:   body,
		}, nil
	}
	return Answer{}, core.Errorf(core.StoreMalformed, "%s: unexpected status %d", path, response.StatusCode)
}

// withoutURL removes the method and URL that net/http prepends to the cause.
func withoutURL(err error) error {
	if wrapped, ok := err.(*url.Error); ok { //nolint:errorlint // the outermost error is wanted
		return wrapped.Err
	}
	return err
}

// Close closes idle connections.
func (f *Fetcher) Close() {
	f.http.CloseIdleConnections()
}
