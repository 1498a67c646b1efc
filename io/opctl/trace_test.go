package opctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestTrace guards against a trace that is out of order, lacks the calls made for the request or
// includes other requests, and against lines in the files that make the command fail.
func TestTrace(t *testing.T) {
	const first = `timestamp=2026-06-14T21:11:28.001Z level=info message=sent host=h1 request=a1 service=s upstream=10.0.0.2:80 attempt=1
timestamp=2026-06-14T21:11:28.004Z level=info message=sentBack host=h1 request=a1 error=overloaded detail="every slot is in use"
timestamp=2026-06-14T21:11:28.009Z level=info message=refused host=h1 request=a1 status=503 error=overloaded
timestamp=2026-06-14T21:11:28.010Z level=info message=refused host=h1 request=a12 status=503 error=starting
panic: not a line of pairs
`
	const second = `  0.0020 h2 timestamp=2026-06-14T21:11:28.003Z level=info message=declined host=h2 request=a1 error=overloaded inFlight=18
timestamp=2026-06-14T21:11:28.002Z level=info message=sent host=h2 request=a1.77
`
	cases := []struct {
		name string
		id   string
		want []string
		code int
	}{
		{
			name: "lines of all files by timestamp",
			id:   "a1",
			want: []string{
				"2026-06-14T21:11:28.001Z h1 sent service=s upstream=10.0.0.2:80 attempt=1",
				"2026-06-14T21:11:28.002Z h2 sent call=77 ",
				"2026-06-14T21:11:28.003Z h2 declined error=overloaded inFlight=18",
				"2026-06-14T21:11:28.004Z h1 sentBack error=overloaded detail=every slot is in use",
				"2026-06-14T21:11:28.009Z h1 refused error=overloaded status=503",
				"overloaded: Every slot of the upstream is in use. Send it later.",
				"skipped 1 malformed lines",
			},
		},
		{
			name: "unknown request",
			id:   "zz",
			want: []string{"skipped 1 malformed lines"},
			code: exitUsage,
		},
	}
	folder := t.TempDir()
	firstPath, secondPath := filepath.Join(folder, "one.log"), filepath.Join(folder, "two.log")
	qt.Assert(t, os.WriteFile(firstPath, []byte(first), 0o600), qt.IsNil)
	qt.Assert(t, os.WriteFile(secondPath, []byte(second), 0o600), qt.IsNil)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			var out, errOut strings.Builder
			c.Assert(Main([]string{"trace", tc.id, firstPath, secondPath}, &out, &errOut), qt.Equals, tc.code)
			c.Assert(strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n"), qt.DeepEquals, tc.want)
		})
	}
	var out, errOut strings.Builder
	qt.Assert(t, Main([]string{"trace", "a1", filepath.Join(folder, "none.log")}, &out, &errOut), qt.Equals, exitUsage)
	qt.Assert(t, Main([]string{"trace", "a1"}, &out, &errOut), qt.Equals, exitUsage)
}
