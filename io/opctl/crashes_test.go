package opctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestCrashes guards against a list that counts the crashes of a request wrong, or whose first line is
// not the request that crashed most upstreams.
func TestCrashes(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "one.log")
	c.Assert(os.WriteFile(path, []byte(`timestamp=T2 message=sentBack host=h1 request=b error=upstreamFailed fingerprint=f1 instance=i2 route=r service=s
timestamp=T1 message=sentBack host=h1 request=a error=upstreamFailed fingerprint=f1 instance=i1 route=r service=s
timestamp=T1 message=sentBack host=h2 request=c error=upstreamFailed fingerprint=f2 instance=i1 route=r service=s
timestamp=T3 message=sentBack host=h2 request=a error=upstreamFailed fingerprint=f1 instance=i2 route=r service=s
timestamp=T3 message=requestQuarantined host=h2 subject=f1
timestamp=T4 message=sent host=h2 request=d
`), 0o600), qt.IsNil)
	var out, errOut strings.Builder
	c.Assert(Main([]string{"crashes", path}, &out, &errOut), qt.Equals, exitOK)
	lines := strings.Split(out.String(), "\n")
	c.Assert(strings.Fields(lines[1]), qt.DeepEquals, []string{"f1", "2", "true", "r", "s", "T1", "T3", "a"})
	c.Assert(strings.Fields(lines[2]), qt.DeepEquals, []string{"f2", "1", "false", "r", "s", "T1", "T1", "c"})
	c.Assert(Main([]string{"crashes"}, &out, &errOut), qt.Equals, exitUsage)
}
