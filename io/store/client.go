package store

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"verbenaway/core"
)

// Config configures a Client.
type Config struct {
	// Address is the base URL, such as http://10.0.0.1:8500.
	Address string
	// Timeout bounds the time until an answer begins, beyond the time for which a watch is parked, and
	// the time without a further byte of it; 0 means 2 s.
	Timeout time.Duration
	// Dial replaces TCP in tests and benchmarks; nil dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

const (
	defaultTimeout = 2 * time.Second
	// maxAnswerBytes is enough for a host list of 5,000 hosts and for the encoding of 1 MB of
	// notes.
	maxAnswerBytes = 4 << 20
)

// Client reads and watches the store. It implements core.Store and is safe for concurrent use.
type Client struct {
	Fetcher
}

// New returns a client; it connects on first use.
func New(config Config) *Client {
	return &Client{
		Fetcher: NewFetcher(config),
	}
}

// Value implements core.Store.
func (c *Client) Value(ctx context.Context, key string) (value []byte, found bool, err error) {
	answer, err := c.Get(ctx, "/v1/values/"+key, nil, 0)
	if err != nil || answer.Status == http.StatusNotFound {
		return nil, false, err
	}
	return answer.Body, true, nil
}

type watchQuery struct {
	Prefix string `url:"prefix"`
	After  string `url:"after"`
	WaitMs int64  `url:"waitMs"`
}

// Watch implements core.Store.
func (c *Client) Watch(ctx context.Context, after string, wait time.Duration) ([]core.KeyValue, error) {
	query := &watchQuery{
		Prefix: "notes/",
		After:  after,
		WaitMs: wait.Milliseconds(),
	}
	answer, err := c.Get(ctx, "/v1/watch", query, wait)
	if err != nil || answer.Status == http.StatusNoContent {
		return nil, err
	}
	var values []core.KeyValue
	if err = json.Unmarshal(answer.Body, &values); err != nil {
		return nil, core.Errorf(core.StoreMalformed, "watch after %q: %v", after, err)
	}
	return values, nil
}

// revisionBits is the number of low bits of core.HostList.Revision that hold the revision of the store.
// The bits above hold the epoch, so that all daemons order lists by epoch and revision.
const revisionBits = 44

type hostsQuery struct {
	After  uint64 `url:"after"`
	Epoch  uint64 `url:"epoch,omitempty"`
	WaitMs int64  `url:"waitMs"`
}

type hostsAnswer struct {
	core.HostList

	// Epoch increases each time the store is restored from a copy, which has a lower revision. Stores
	// without restorations may omit it.
	Epoch uint64 `json:"epoch"`
}

// Hosts implements core.Store.
func (c *Client) Hosts(ctx context.Context, after uint64, wait time.Duration) (list core.HostList, ok bool, err error) {
	query := &hostsQuery{
		After:  after & (1<<revisionBits - 1),
		Epoch:  after >> revisionBits,
		WaitMs: wait.Milliseconds(),
	}
	answer, err := c.Get(ctx, "/v1/hosts", query, wait)
	if err != nil || answer.Status == http.StatusNoContent {
		return core.HostList{}, false, err
	}
	var decoded hostsAnswer
	if err = json.Unmarshal(answer.Body, &decoded); err != nil {
		return core.HostList{}, false, core.Errorf(core.StoreMalformed, "host list: %v", err)
	}
	if decoded.Revision>>revisionBits > 0 || decoded.Epoch>>(64-revisionBits) > 0 {
		return core.HostList{}, false, core.Errorf(core.StoreMalformed, "host list: epoch %d or revision %d is too high", decoded.Epoch, decoded.Revision)
	}
	list = decoded.HostList
	list.Revision |= decoded.Epoch << revisionBits
	return list, true, nil
}
