package stand

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"verbenaway/core"
)

const (
	notePrefix    = "notes/"
	checkpointKey = "checkpoints/latest"
)

// NoteKey returns the key of a note.
func NoteKey(version core.Version) string {
	return fmt.Sprintf("%s%010d", notePrefix, version)
}

// noteVersion returns the number in the key of a note.
func noteVersion(key string) (core.Version, bool) {
	digits, ok := strings.CutPrefix(key, notePrefix)
	if !ok || len(digits) != 10 {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return core.Version(number), err == nil && number > 0
}

// storedValue is one value of a key.
type storedValue struct {
	head  core.Version // version of the newest note once the value was written
	value []byte
}

// storeState is the contents of the store. It keeps older values, which StaleBy and RollBackTo
// need. The lock of the store protects it.
type storeState struct {
	values map[string][]storedValue
	head   core.Version // version of the newest note
	hosts  []hostListEntry
	// hostsEpoch increases with each rollBackHosts.
	hostsEpoch uint64
}

// hostListEntry is one host list with the time from which readers see it.
type hostListEntry struct {
	visible time.Time
	list    core.HostList
}

func (s *storeState) put(key string, value []byte) {
	if version, ok := noteVersion(key); ok && version > s.head {
		s.head = version
	}
	s.values[key] = append(s.values[key], storedValue{
		head:  s.head,
		value: value,
	})
}

// value returns the newest value of a key, or the newest one as of a version.
func (s *storeState) value(key string, asOf *core.Version) ([]byte, bool) {
	entries := s.values[key]
	for i := len(entries) - 1; i >= 0; i-- {
		if asOf == nil || entries[i].head <= *asOf {
			return entries[i].value, true
		}
	}
	return nil, false
}

// after returns the values whose keys have the prefix and sort after the given key, in key order.
// Their total size is at most maxWatchBytes, unless the first alone is larger.
func (s *storeState) after(prefix, after string, asOf *core.Version) []core.KeyValue {
	var keys []string
	for key := range s.values {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	var found []core.KeyValue
	size := 0
	for _, key := range keys {
		value, ok := s.value(key, asOf)
		if !ok {
			continue
		}
		size += len(value)
		if len(found) > 0 && size > maxWatchBytes {
			break
		}
		found = append(found, core.KeyValue{
			Key:   key,
			Value: value,
		})
	}
	return found
}

// rollBack removes all values written after a version.
func (s *storeState) rollBack(to core.Version) {
	for key, entries := range s.values {
		kept := entries[:0:0]
		for _, entry := range entries {
			if entry.head <= to {
				kept = append(kept, entry)
			}
		}
		if len(kept) == 0 {
			delete(s.values, key)
			continue
		}
		s.values[key] = kept
	}
	s.head = min(s.head, to)
}

// rollBackHosts removes all host lists after a revision.
func (s *storeState) rollBackHosts(to uint64) {
	s.hosts = slices.DeleteFunc(s.hosts, func(entry hostListEntry) bool {
		return entry.list.Revision > to
	})
	s.hostsEpoch++
}

// putHosts adds a host list; revision 0 means the number after the newest revision.
func (s *storeState) putHosts(list core.HostList, visible time.Time) {
	if list.Revision == 0 {
		list.Revision = 1
		if n := len(s.hosts); n > 0 {
			list.Revision = s.hosts[n-1].list.Revision + 1
		}
	}
	s.hosts = append(s.hosts, hostListEntry{
		visible: visible,
		list:    list,
	})
}

// hostsNow returns the host list that readers see, which is revision 0 without hosts before the
// first list.
func (s *storeState) hostsNow(now time.Time) core.HostList {
	for i := len(s.hosts) - 1; i >= 0; i-- {
		if !s.hosts[i].visible.After(now) {
			return s.hosts[i].list
		}
	}
	return core.HostList{
		Hosts: []core.Host{},
	}
}

// nextHostsTime returns the time at which the next host list becomes visible, or zero if there is
// none.
func (s *storeState) nextHostsTime(now time.Time) time.Time {
	var next time.Time
	for _, entry := range s.hosts {
		if entry.visible.After(now) && (next.IsZero() || entry.visible.Before(next)) {
			next = entry.visible
		}
	}
	return next
}

// seed reads the notes of a directory: files named {number}.toml become notes, and
// checkpoint.toml becomes the checkpoint.
func (s *storeState) seed(dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil {
		return err
	}
	sort.Strings(files)
	for _, file := range files {
		value, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		key, err := seedKey(file)
		if err != nil {
			return err
		}
		s.put(key, value)
	}
	return nil
}

func seedKey(file string) (string, error) {
	name := strings.TrimSuffix(filepath.Base(file), ".toml")
	if name == "checkpoint" {
		return checkpointKey, nil
	}
	number, err := strconv.ParseUint(name, 10, 64)
	if err != nil || number == 0 {
		return "", fmt.Errorf("seed file %s: the name must be checkpoint.toml or a note number such as 0000000042.toml", file)
	}
	return NoteKey(core.Version(number)), nil
}
