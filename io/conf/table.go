package conf

import (
	"fmt"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"verbenaway/core"
)

// Setting is one row of the table of settings.
type Setting struct {
	// Key is the path in the file, with dots between tables.
	Key string
	// Type is string, list or duration; durations are strings such as "800ms".
	Type     string
	Required bool
	// Default is for the reference page; Defaults sets the value.
	Default string
	// Accepts says which values are valid.
	Accepts string
	Meaning string
	// check reports whether one value, or one element of a list, is valid.
	check func(value string) bool
}

// Table lists all settings in the order of the file.
var Table = []Setting{
	{Key: "host", Type: "string", Required: true, Accepts: "a name without spaces", Meaning: "Name of the host, unique in the fleet.", check: isName},
	{Key: "availabilityZone", Type: "string", Required: true, Accepts: "a name without spaces", Meaning: "Availability zone of the host.", check: isName},
	{Key: "region", Type: "string", Required: true, Accepts: "a name without spaces", Meaning: "Region of the availability zone.", check: isName},
	{Key: "service", Type: "string", Required: true, Accepts: "a name without spaces", Meaning: "Service of the upstream on the host.", check: isName},
	{Key: "listen.caller", Type: "string", Required: true, Accepts: "ip:port", Meaning: "Address for callers.", check: isAddress},
	{Key: "listen.gate", Type: "string", Required: true, Accepts: "ip:port", Meaning: "Address for requests of other daemons.", check: isAddress},
	{Key: "listen.peer", Type: "string", Required: true, Accepts: "ip:port", Meaning: "Address for control messages of other daemons.", check: isAddress},
	{Key: "listen.admin", Type: "string", Required: true, Accepts: "ip:port", Meaning: "Address for status, timeline and metrics.", check: isAddress},
	{Key: "upstream.address", Type: "string", Required: true, Accepts: "ip:port", Meaning: "Address of the upstream on the host.", check: isAddress},
	{Key: "store.address", Type: "string", Required: true, Accepts: "an http URL such as http://10.0.0.1:8500", Meaning: "Address of the store.", check: isURL},
	{Key: "store.timeout", Type: "duration", Default: "2s", Accepts: "10ms to 1m", Meaning: "Bound on one operation of the store, beside the wait of a watch.", check: isDuration(10*time.Millisecond, time.Minute)},
	{Key: "spread.way", Type: "string", Default: WayVerbenaway, Accepts: "verbenaway or directWatch", Meaning: "How versions are learned; directWatch lets each daemon watch the store and serves as baseline.", check: isOneOf(WayVerbenaway, WayDirectWatch)},
	{Key: "spread.seeds", Type: "list", Default: "[]", Accepts: "a list of ip:port", Meaning: "Peer addresses contacted at start.", check: isAddress},
	{Key: "drain.timeout", Type: "duration", Default: "1m0s", Accepts: "1s to 1h", Meaning: "Bound on a planned stop; requests still in flight then are aborted.", check: isDuration(time.Second, time.Hour)},
	{Key: "log.level", Type: "string", Default: "info", Accepts: "debug, info, warn or error", Meaning: "Lowest level that is logged.", check: isOneOf("debug", "info", "warn", "error")},
}

// checkSettings checks raw settings against Table.
func checkSettings(name string, raw map[string]any) error {
	flat := map[string]any{}
	flatten("", raw, flat)
	keys := make([]string, 0, len(flat))
	for key := range flat {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		setting, ok := findSetting(key)
		if !ok {
			return core.Errorf(core.SettingUnknown, "%s: %s = %v: unknown key, accepted keys: %s", name, key, flat[key], keyList())
		}
		if err := setting.checkValue(name, flat[key]); err != nil {
			return err
		}
	}
	for _, setting := range Table {
		if _, ok := flat[setting.Key]; setting.Required && !ok {
			return core.Errorf(core.SettingRange, "%s: %s is missing, accepted: %s", name, setting.Key, setting.Accepts)
		}
	}
	return nil
}

// flatten copies nested TOML tables to flat, with keys such as store.timeout.
func flatten(prefix string, table, flat map[string]any) {
	for key, value := range table {
		if nested, ok := value.(map[string]any); ok {
			flatten(prefix+key+".", nested, flat)
			continue
		}
		flat[prefix+key] = value
	}
}

func findSetting(key string) (Setting, bool) {
	i := slices.IndexFunc(Table, func(s Setting) bool {
		return s.Key == key
	})
	if i < 0 {
		return Setting{}, false
	}
	return Table[i], true
}

func keyList() string {
	keys := make([]string, 0, len(Table))
	for _, setting := range Table {
		keys = append(keys, setting.Key)
	}
	return strings.Join(keys, ", ")
}

// checkValue checks the type and the range of one value.
func (s Setting) checkValue(name string, value any) error {
	elements := []any{value}
	if s.Type == "list" {
		list, ok := value.([]any)
		if !ok {
			return core.Errorf(core.SettingType, "%s: %s = %v: want %s", name, s.Key, value, s.Accepts)
		}
		elements = list
	}
	for _, element := range elements {
		text, ok := element.(string)
		if !ok {
			return core.Errorf(core.SettingType, "%s: %s = %v: want a string, accepted: %s", name, s.Key, element, s.Accepts)
		}
		if !s.check(text) {
			return core.Errorf(core.SettingRange, "%s: %s = %q: not valid, accepted: %s", name, s.Key, text, s.Accepts)
		}
	}
	return nil
}

func isName(value string) bool {
	return value != "" && !strings.ContainsAny(value, " \t\n/,=\"")
}

func isAddress(value string) bool {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

func isURL(value string) bool {
	parsed, err := url.Parse(value)
	return err == nil && parsed.Scheme == "http" && parsed.Host != ""
}

func isDuration(lowest, highest time.Duration) func(string) bool {
	return func(value string) bool {
		duration, err := time.ParseDuration(value)
		return err == nil && duration >= lowest && duration <= highest
	}
}

func isOneOf(values ...string) func(string) bool {
	return func(value string) bool {
		return slices.Contains(values, value)
	}
}

// Reference returns the table of settings as Markdown for the reference page.
func Reference() string {
	var page strings.Builder
	page.WriteString("| setting | type | default | accepts | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, s := range Table {
		value := s.Default
		if s.Required {
			value = "required"
		}
		fmt.Fprintf(&page, "| `%s` | %s | %s | %s | %s |\n", s.Key, s.Type, value, s.Accepts, s.Meaning)
	}
	return page.String()
}
