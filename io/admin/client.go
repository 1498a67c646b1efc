package admin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"golang.org/x/sync/errgroup"

	"verbenaway/core"
)

// maxConcurrentRequests is the maximum number of daemons queried in parallel.
const maxConcurrentRequests = 32

// Client queries daemons on their admin addresses.
type Client struct {
	http *http.Client
}

// NewClient returns a client; timeout limits each request.
func NewClient(timeout time.Duration) *Client {
	return &Client{
		http: &http.Client{
			Timeout: timeout,
		},
	}
}

// Query holds the query parameters of all endpoints; empty fields are not sent.
type Query struct {
	Host   string `url:"host,omitempty"`
	Path   string `url:"path,omitempty"`
	Method string `url:"method,omitempty"`
	Tenant string `url:"tenant,omitempty"`
	Since  string `url:"since,omitempty"`
	Kind   string `url:"kind,omitempty"`
	AZ     string `url:"az,omitempty"`
}

// get sends a request to one daemon and decodes the answer.
func get[T any](c *Client, address, path string, query Query) (T, error) {
	var value T
	request, err := sling.New().Base("http://" + address).Get(path).QueryStruct(&query).Request()
	if err != nil {
		return value, core.Errorf(core.Usage, "admin address %q: %v", address, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return value, core.Errorf(core.PeerUnreachable, "%v", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return value, core.Errorf(core.PeerMalformed, "%s answered status %d", address, response.StatusCode)
	}
	if err = json.NewDecoder(response.Body).Decode(&value); err != nil {
		return value, core.Errorf(core.PeerMalformed, "answer of %s: %v", address, err)
	}
	return value, nil
}

// Hosts returns the hosts known to a daemon.
func (c *Client) Hosts(address string) ([]core.Host, error) {
	return get[[]core.Host](c, address, "/v1/hosts", Query{})
}

// Explain returns a daemon's routing decision for a request as JSON.
func (c *Client) Explain(address string, query Query) (json.RawMessage, error) {
	return get[json.RawMessage](c, address, "/v1/explain", query)
}

// Statuses returns the status of the given hosts, in the same order.
func (c *Client) Statuses(hosts []core.Host) []Answer[Status] {
	return getAll[Status](c, hosts, "/v1/status", Query{})
}

// Events returns the events of the given hosts, in the same order.
func (c *Client) Events(hosts []core.Host, query Query) []Answer[[]core.Event] {
	return getAll[[]core.Event](c, hosts, "/v1/events", query)
}

// getAll queries the hosts in parallel and returns their answers in the order of hosts.
func getAll[T any](c *Client, hosts []core.Host, path string, query Query) []Answer[T] {
	answers := make([]Answer[T], len(hosts))
	var group errgroup.Group
	group.SetLimit(maxConcurrentRequests)
	for i, host := range hosts {
		group.Go(func() error {
			value, err := get[T](c, host.AdminAddress, path, query)
			answers[i] = Answer[T]{
				Host:  host,
				Value: value,
				Err:   err,
			}
			return nil
		})
	}
	_ = group.Wait()
	return answers
}
