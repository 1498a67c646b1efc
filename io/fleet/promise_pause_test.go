package fleet_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/io/fleet"
	"verbenaway/io/load"
	"verbenaway/io/proxy"
	"verbenaway/io/stand"
)

// freeAddress returns an address with a port that was free at the time of the call.
func freeAddress(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	return listener.Addr().String()
}

// startProcess builds verbenad and starts it as a separate process, the only host of the service
// cliffvault. It returns the process and its caller address, and kills the process at the end of
// the test.
func startProcess(t *testing.T, f *fleet.Fleet, upstream string) (*os.Process, string) {
	t.Helper()
	c := qt.New(t)
	dir := t.TempDir()
	binary, settings := filepath.Join(dir, "verbenad"), filepath.Join(dir, "settings.toml")
	output, err := exec.Command("go", "build", "-o", binary, "verbenaway/cmd/verbenad").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", output))
	caller := freeAddress(c)
	text := fmt.Sprintf(`host = "paused"
availabilityZone = "north1"
region = "north"
service = "cliffvault"
listen = {caller = %q, gate = "127.0.0.1:0", peer = "127.0.0.1:0", admin = "127.0.0.1:0"}
upstream = {address = %q}
store = {address = %q}
spread = {seeds = [%q]}
`, caller, upstream, f.StoreURL(), f.Daemons[0].Self().PeerAddress)
	c.Assert(os.WriteFile(settings, []byte(text), 0o600), qt.IsNil)
	command := exec.Command(binary, "--settings", settings)
	command.Stderr = &bytes.Buffer{}
	c.Assert(command.Start(), qt.IsNil)
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command.Process, caller
}

// TestPromisePausedDaemonServesNoOldVersion checks promises 1 and 12: a daemon that was paused
// while a route was withdrawn does not serve that route after it resumes, not even for requests
// that arrived during the pause. The test guards against requests that are served between the
// resumption and the first digest, while the process still holds the old version. The process is
// the only host of the service, so no other gatekeeper can refuse in its place.
func TestPromisePausedDaemonServesNoOldVersion(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	upstream := stand.NewUpstream(*upstreamTemplate())
	server, err := stand.Serve("127.0.0.1:0", upstream)
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() {
		c.Check(server.Close(), qt.IsNil)
	})
	f := startFleet(t, fleet.Config{
		Daemons: 6,
		Zones:   fleet.TargetZones[:1],
	}, requestNote()+vaultNote)
	process, caller := startProcess(t, f, server.Address())
	vaultRequest := lookupRequest
	vaultRequest.Host, vaultRequest.Path = "vault.example", "/photos/1"
	before := startCaller(t, caller, vaultRequest)
	await(t, startBound, "the process serves", func() bool { return before.ok.Load() >= 20 })
	before.stop()
	observer := f.Daemons[0].Agent()
	await(t, startBound, "another daemon knows the process", func() bool {
		return len(observer.ServiceMembers("cliffvault")) == 1
	})
	c.Assert(process.Signal(syscall.SIGSTOP), qt.IsNil)
	// The others declare it dead only after a pause of more than 2 s, the PauseThreshold after which
	// the process has to have its view confirmed.
	await(t, startBound, "another daemon declares the process dead", func() bool {
		return len(observer.ServiceMembers("cliffvault")) == 0
	})
	f.Publish(fleet.RouteNote(600))
	f.Publish("[withdraw]\nroute = [\"vault\"]\n")
	_, err = f.AwaitVersion(f.Publish(fleet.RouteNote(700)), 6, inForceBound)
	c.Assert(err, qt.IsNil)
	ran := upstream.Runs(false).Requests
	waiting := writeRequest(t, caller, vaultRequest)
	after := startCaller(t, caller, vaultRequest)
	c.Assert(process.Signal(syscall.SIGCONT), qt.IsNil)
	await(t, inForceBound, "the process has the newest version", func() bool {
		return after.countRefused(core.NoRoute) > 0
	})
	after.stop()
	answer, err := http.ReadResponse(bufio.NewReader(waiting), nil)
	c.Assert(err, qt.IsNil)
	c.Check(answer.Header.Get(proxy.HeaderOutcome), qt.Equals, proxy.OutcomeNotRun)
	c.Check(answer.Body.Close(), qt.IsNil)
	c.Check(after.ok.Load(), qt.Equals, int64(0))
	c.Check(upstream.Runs(false).Requests, qt.Equals, ran)
}

// writeRequest writes a request to a new connection and returns without reading the answer.
func writeRequest(t *testing.T, address string, template load.RequestTemplate) net.Conn {
	t.Helper()
	c := qt.New(t)
	connection, err := net.DialTimeout("tcp", address, requestBound)
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() {
		_ = connection.Close()
	})
	c.Assert(connection.SetDeadline(time.Now().Add(startBound)), qt.IsNil)
	_, err = fmt.Fprintf(connection, "%s %s HTTP/1.1\r\nHost: %s\r\n\r\n", template.Method, template.Path, template.Host)
	c.Assert(err, qt.IsNil)
	return connection
}

// startCaller sends a stream of requests to one address.
func startCaller(t *testing.T, address string, template load.RequestTemplate) *stream {
	return startStreamTo(t, []string{address}, 20, template)
}

// countRefused counts the requests that were refused with a kind.
func (s *stream) countRefused(kind core.ErrorKind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, sent := range s.results {
		if sent.result.Kind == kind {
			count++
		}
	}
	return count
}
