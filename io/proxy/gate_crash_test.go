package proxy

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCrashIsNoticed guards against the end of an upstream that is taken for the loss of one answer, and
// a lost answer that is taken for the end.
func TestCrashIsNoticed(t *testing.T) {
	for _, tc := range []struct {
		name string
		// crash is what becomes of the upstream when it runs the request.
		crash func(listener net.Listener, server *httptest.Server)
		want  string
	}{
		{name: "refuses connections", want: "i0", crash: func(listener net.Listener, _ *httptest.Server) {
			_ = listener.Close()
		}},
		{name: "something else closes connections", want: "i0", crash: func(listener net.Listener, server *httptest.Server) {
			_ = listener.Close()
			for range 100 {
				next, err := net.Listen("tcp", listener.Addr().String())
				if err != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				server.Config.RegisterOnShutdown(func() { _ = next.Close() })
				go func() {
					for {
						conn, err := next.Accept()
						if err != nil {
							return
						}
						_ = conn.Close()
					}
				}()
				return
			}
		}},
		{name: "lost one answer", crash: func(net.Listener, *httptest.Server) {}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			rig := newMeshRig(t, nil, largeBudget, signedHandler)
			host := rig.hosts[0]
			upstream := host.upstream
			upstream.Config.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				tc.crash(upstream.Listener, upstream)
				panic(http.ErrAbortHandler)
			})
			t.Cleanup(func() { _ = upstream.Config.Shutdown(t.Context()) })
			r := httptest.NewRequest(http.MethodGet, "/lookup/1", nil)
			r.Host = rig.view.snapshot.Routes["lookup"].Host
			r.Header.Set("X-Id", "a")
			r.Header.Set(HeaderService, string(host.member.Host.Service))
			r.Header.Set(HeaderTimeout, "2000")
			w := httptest.NewRecorder()
			host.gate.ServeHTTP(w, r)
			c.Assert(w.Code, qt.Equals, http.StatusBadGateway)
			c.Assert(w.Header().Get(HeaderCrashed), qt.Equals, tc.want)
		})
	}
}
