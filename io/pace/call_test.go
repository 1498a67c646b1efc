package pace

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLimits guards against calls that end although their answer keeps arriving, and against calls
// that last although it does not.
func TestLimits(t *testing.T) {
	const unit = 100 * time.Millisecond
	cases := []struct {
		name string
		// delay is the time until the answer begins, pause that between two of its parts.
		delay time.Duration
		pause time.Duration
		parts int
		isOK  bool
	}{
		{
			name:  "prompt",
			parts: 2,
			isOK:  true,
		},
		{
			name:  "longer than the time until it begins",
			pause: unit,
			parts: 10,
			isOK:  true,
		},
		{
			name:  "begins late",
			delay: 8 * unit,
			parts: 1,
		},
		{
			name:  "pauses",
			pause: 8 * unit,
			parts: 2,
		},
		{
			name:  "does not end",
			pause: unit,
			parts: 100,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				control := http.NewResponseController(w)
				time.Sleep(tc.delay)
				for range tc.parts {
					if r.Context().Err() != nil {
						return
					}
					_, _ = io.WriteString(w, "part")
					_ = control.Flush()
					time.Sleep(tc.pause)
				}
			}))
			defer server.Close()
			client := &http.Client{
				Transport: Transport(http.DefaultTransport),
			}
			defer client.CloseIdleConnections()
			outer, tracked := Track(t.Context())
			ctx, call, cancel := WithLimits(outer, Limits{
				Begin: 4 * unit,
				Idle:  4 * unit,
				Total: 20 * unit,
			})
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, http.NoBody)
			c.Assert(err, qt.IsNil)
			c.Assert(call.IsBegun(), qt.IsFalse)
			response, err := client.Do(request)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				c.Check(response.Body.Close(), qt.IsNil)
				c.Check(call.IsBegun(), qt.IsTrue)
				c.Check(tracked.IsBegun(), qt.IsTrue)
			}
			c.Assert(err == nil, qt.Equals, tc.isOK, qt.Commentf("%v", err))
			if !tc.isOK {
				c.Assert(context.Cause(ctx), qt.Equals, context.DeadlineExceeded)
			}
		})
	}
}
