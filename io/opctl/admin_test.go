package opctl_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/io/admin"
	"verbenaway/io/conf"
)

// adminPlaceholder stands for the admin address of the first daemon in the arguments of a test.
const adminPlaceholder = "ADMIN"

// fleetCase runs verbenactl against a daemon "a" with version 3 in force and a second daemon "b".
type fleetCase struct {
	name string
	// b is the handler of the second daemon; if it is nil, nothing listens on its address.
	b    http.Handler
	args []string
	code int
	// out and errOut must occur in standard output and standard error. If errOut is empty, nothing
	// may be printed to standard error.
	out    []string
	errOut string
}

func newAdminHandler(status admin.Status, hosts []core.Host, events []core.Event) http.Handler {
	return admin.NewHandler(admin.Config{
		Status:  func() (admin.Status, error) { return status, nil },
		Hosts:   func() []core.Host { return hosts },
		Events:  func() []core.Event { return events },
		Explain: func(request admin.ExplainRequest) any { return request },
	})
}

func respondWith(code int, body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(code)
		_, _ = w.Write([]byte(body))
	})
}

func serverAddress(server *httptest.Server) string {
	return server.Listener.Addr().String()
}

// closedAddress returns an address on which nothing listens.
func closedAddress(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(listener.Close(), qt.IsNil)
	return listener.Addr().String()
}

// run starts the two daemons and runs verbenactl with the arguments of the case.
func (f fleetCase) run(c *qt.C) {
	hosts := []core.Host{
		{Name: "a", AvailabilityZone: "o1", Region: "otago"},
		{Name: "b", AvailabilityZone: "o2", Region: "otago", AdminAddress: closedAddress(c)},
	}
	if f.b != nil {
		server := httptest.NewServer(f.b)
		c.Cleanup(server.Close)
		hosts[1].AdminAddress = serverAddress(server)
	}
	first := httptest.NewUnstartedServer(nil)
	hosts[0].AdminAddress = serverAddress(first)
	first.Config.Handler = newAdminHandler(admin.Status{Version: 3}, hosts, []core.Event{
		{Time: core.Timestamp{Wall: 2000}, Host: "a", AvailabilityZone: "o1", Kind: core.EventReady, Version: 3},
	})
	first.Start()
	c.Cleanup(first.Close)
	args := append([]string{}, f.args...)
	for i, arg := range args {
		if arg == adminPlaceholder {
			args[i] = serverAddress(first)
		}
	}
	code, out, errOut := run(args...)
	c.Check(code, qt.Equals, f.code, qt.Commentf("%s%s", out, errOut))
	for _, want := range f.out {
		c.Check(out, qt.Contains, want)
	}
	if f.errOut == "" {
		c.Check(errOut, qt.Equals, "")
	}
	c.Check(errOut, qt.Contains, f.errOut)
}

// TestStatusFaults guards against a status that omits a lagging or unresponsive daemon, and
// against --wait succeeding although the version is not in force on all daemons.
func TestStatusFaults(t *testing.T) {
	status := []string{"status", "--admin", adminPlaceholder}
	wait := append(status, "--timeout", "20ms", "--wait")
	refused := newAdminHandler(admin.Status{Version: 3, Refused: []core.RefusedNote{{Version: 2, Kind: core.NoteOverlap, Reason: "add.route[0]"}}}, nil, nil)
	for _, test := range []fleetCase{
		{name: "in force everywhere", b: refused, args: status, out: []string{"newest version in force: 3\n", "refused note=2 kind=noteOverlap reason=\"add.route[0]\"\n"}},
		{name: "lagging host", b: newAdminHandler(admin.Status{Version: 2, LagReason: "the store is down"}, nil, nil), args: status,
			out: []string{"newest version in force: 3\n", "lagging host=b version=2 reason=\"the store is down\"\n"}},
		{name: "host not serving", b: newAdminHandler(admin.Status{Version: 3, NotServing: core.SuspectView}, nil, nil), args: status,
			out: []string{"lagging host=b version=3 reason=\"suspectView"}},
		{name: "unresponsive host", args: status, out: []string{"lagging host=b version=0 reason=\"does not answer: peerUnreachable: "}},
		{name: "malformed answer", b: respondWith(http.StatusOK, "{"), args: status, out: []string{"lagging host=b version=0 reason=\"does not answer: peerMalformed: "}},
		{name: "wait succeeds", b: refused, args: append(wait, "3"), out: []string{"newest version in force: 3\n"}},
		{name: "wait on a lagging host", b: newAdminHandler(admin.Status{Version: 2}, nil, nil), args: append(wait, "3"), code: 1, out: []string{"lagging host=b version=2"}},
		{name: "wait for a version that is not in force", b: refused, args: append(wait, "4"), code: 1, out: []string{"lagging host=a version=3", "lagging host=b version=3"}},
		{name: "wait on an unresponsive host", args: append(wait, "3"), code: 1, out: []string{"lagging host=b"}},
		{name: "wait without a number", args: append(wait, "newest"), code: 2, errOut: "usage: "},
		{name: "argument", args: append(status, "x"), code: 2, errOut: `status takes no arguments, got "x"`},
	} {
		t.Run(test.name, func(t *testing.T) { test.run(qt.New(t)) })
	}
}

// TestAdminAddressFaults guards against a subcommand that succeeds, or fails without naming the
// address, when the daemon at --admin gives no valid answer.
func TestAdminAddressFaults(t *testing.T) {
	for _, test := range []struct {
		name    string
		handler http.Handler
		errOut  string
	}{
		{"nothing listens", nil, "peerUnreachable: "},
		{"truncated answer", respondWith(http.StatusOK, `[{"name":`), "peerMalformed: "},
		{"another service", respondWith(http.StatusOK, "<html>"), "peerMalformed: "},
		{"refusal", respondWith(http.StatusServiceUnavailable, ""), "peerMalformed: "},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			adminAddress := closedAddress(c)
			if test.handler != nil {
				server := httptest.NewServer(test.handler)
				c.Cleanup(server.Close)
				adminAddress = serverAddress(server)
			}
			for _, args := range [][]string{{"status"}, {"status", "--wait", "1"}, {"timeline"}, {"explain", "http://netbook.example/nets"}} {
				code, out, errOut := run(append(args, "--admin", adminAddress)...)
				c.Check(code, qt.Equals, 1)
				c.Check(out, qt.Equals, "")
				c.Check(errOut, qt.Contains, "verbenactl "+args[0]+": "+test.errOut)
				c.Check(errOut, qt.Contains, adminAddress)
			}
		})
	}
}

// TestExplain guards against a part of the request that does not reach the daemon unchanged.
func TestExplain(t *testing.T) {
	explain := []string{"explain", "--admin", adminPlaceholder}
	for _, test := range []fleetCase{
		{name: "all parts", args: append(explain, "--method", "POST", "--tenant", "crew", "http://netbook.example:8080/nets/a%20b"),
			out: []string{`"Host": "netbook.example:8080"`, `"Path": "/nets/a b"`, `"Method": "POST"`, `"Tenant": "crew"`}},
		{name: "missing URL", args: explain, code: 2, errOut: "explain takes one URL, got 0"},
		{name: "URL without host", args: append(explain, "/nets/7"), code: 2, errOut: `"/nets/7" is not a URL with a host`},
	} {
		t.Run(test.name, func(t *testing.T) { test.run(qt.New(t)) })
	}
}

// TestTimelineFaults guards against a timeline that omits a daemon without reporting it, and
// against an invalid filter that is accepted.
func TestTimelineFaults(t *testing.T) {
	timeline := []string{"timeline", "--admin", adminPlaceholder}
	eventOfA := "1970-01-01T00:00:02.000Z.0 host=a az=o1 event=ready version=3\n"
	earlierB := newAdminHandler(admin.Status{}, nil, []core.Event{{Time: core.Timestamp{Wall: 1000}, Host: "b", AvailabilityZone: "o2", Kind: core.EventStarted}})
	for _, test := range []fleetCase{
		{name: "merged in order", b: earlierB, args: timeline, out: []string{"1970-01-01T00:00:01.000Z.0 host=b az=o2 event=started version=0\n" + eventOfA}},
		{name: "since a time", b: earlierB, args: append(timeline, "--since", "1970-01-01T00:00:02Z"), out: []string{eventOfA}},
		{name: "unresponsive host", args: timeline, out: []string{"missing host=b az=o2 reason=\"peerUnreachable: ", eventOfA}},
		{name: "malformed answer", b: respondWith(http.StatusOK, "[{]"), args: timeline, out: []string{"missing host=b az=o2 reason=\"peerMalformed: ", eventOfA}},
		{name: "malformed since", args: append(timeline, "--since", "yesterday"), code: 2, errOut: `--since "yesterday": must be a time such as`},
		{name: "argument", args: append(timeline, "x"), code: 2, errOut: `timeline takes no arguments, got "x"`},
		{name: "unwritable chart", b: earlierB, args: append(timeline, "--html", filepath.Join("missing", "x.html")), code: 2, errOut: "--html: "},
	} {
		t.Run(test.name, func(t *testing.T) { test.run(qt.New(t)) })
	}
}

// TestFirstExample guards against an invalid note or settings file in the example of the README.
func TestFirstExample(t *testing.T) {
	code, out, errOut := run("check", filepath.Join("..", "..", "examples", "first", "notes"))
	qt.Check(t, code, qt.Equals, 0, qt.Commentf("%s%s", out, errOut))
	_, err := conf.ReadFile(filepath.Join("..", "..", "examples", "first", "host.toml"))
	qt.Check(t, err, qt.IsNil)
}
