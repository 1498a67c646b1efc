package conf_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/io/conf"
)

const valid = `
host = "otago1-netbook"
availabilityZone = "otago1"
region = "otago"
service = "netbook"
[listen]
caller = "127.0.0.1:8000"
gate = "127.0.0.1:8001"
peer = "127.0.0.1:8002"
admin = "127.0.0.1:8003"
[upstream]
address = "127.0.0.1:9000"
[store]
address = "http://127.0.0.1:8500"
timeout = "500ms"
[spread]
seeds = ["127.0.0.1:7002"]
`

// TestParse guards against an invalid setting that is accepted, and against an error that does
// not name the key, the value and the accepted values.
func TestParse(t *testing.T) {
	tests := []struct {
		name string
		old  string
		new  string
		kind core.ErrorKind
		want string
	}{
		{name: "valid", kind: ""},
		{name: "unknown key", old: "timeout =", new: "timeOut =", kind: core.SettingUnknown, want: `f.toml: store.timeOut = 500ms: unknown key`},
		{name: "wrong type", old: `"500ms"`, new: `500`, kind: core.SettingType, want: `f.toml: store.timeout = 500: want a string, accepted: 10ms to 1m`},
		{name: "out of range", old: `"500ms"`, new: `"5h"`, kind: core.SettingRange, want: `f.toml: store.timeout = "5h": not valid, accepted: 10ms to 1m`},
		{name: "host name instead of IP", old: `"127.0.0.1:8000"`, new: `"localhost:8000"`, kind: core.SettingRange, want: `f.toml: listen.caller = "localhost:8000": not valid, accepted: ip:port`},
		{name: "bad list element", old: `["127.0.0.1:7002"]`, new: `["x"]`, kind: core.SettingRange, want: `f.toml: spread.seeds = "x"`},
		{name: "list wanted", old: `["127.0.0.1:7002"]`, new: `"127.0.0.1:7002"`, kind: core.SettingType, want: `f.toml: spread.seeds = 127.0.0.1:7002: want a list`},
		{name: "missing", old: `host = "otago1-netbook"`, new: ``, kind: core.SettingRange, want: `f.toml: host is missing`},
		{name: "not TOML", old: `host =`, new: `host`, kind: core.SettingType, want: `f.toml: not valid TOML`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			settings, err := conf.Parse("f.toml", []byte(strings.Replace(valid, test.old, test.new, 1)))
			c.Assert(core.KindOf(err), qt.Equals, test.kind)
			if test.kind != "" {
				c.Assert(err.Error(), qt.Contains, test.want)
				c.Assert(strings.Count(err.Error(), "\n"), qt.Equals, 0)
				return
			}
			c.Assert(settings.Store.Timeout, qt.Equals, core.Duration(500*time.Millisecond))
			c.Assert(settings.Spread.Way, qt.Equals, conf.WayVerbenaway)
		})
	}
}
