package snap_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/klauspost/compress/zstd"

	"verbenaway/core"
	"verbenaway/core/snap"
)

// FuzzDecode guards against a snapshot from another daemon that crashes this one or is accepted
// although it violates a rule. Each input is decoded as it is and after compressing it.
func FuzzDecode(f *testing.F) {
	writer, err := zstd.NewWriter(nil)
	if err != nil {
		f.Fatal(err)
	}
	reader, err := zstd.NewReader(nil)
	if err != nil {
		f.Fatal(err)
	}
	full, _ := snap.Fold(snap.Empty(""), 1, []byte(firstNote), received)
	for _, s := range []*core.Snapshot{full, snap.ForRegion(full, "otago"), snap.ForRegion(full, "canterbury")} {
		encoded, err := snap.Encode(s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
		plain, err := reader.DecodeAll(encoded, nil)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(plain)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		checkDecode(qt.New(t), data)
		checkDecode(qt.New(t), writer.EncodeAll(data, nil))
	})
}

func checkDecode(c *qt.C, data []byte) {
	s, err := snap.Decode(data)
	if err != nil {
		c.Assert(core.KindOf(err), qt.Equals, core.PeerMalformed)
		return
	}
	c.Assert(snap.Check(s), qt.IsNil)
	encoded, err := snap.Encode(s)
	c.Assert(err, qt.IsNil)
	again, err := snap.Decode(encoded)
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.DeepEquals, s)
}

// FuzzFold guards against a note that a store reader accepts but a daemon cannot apply.
func FuzzFold(f *testing.F) {
	full, _ := snap.Fold(snap.Empty(""), 1, []byte(firstNote), received)
	for _, text := range []string{
		"version = 2\nagainst = 1\nchange.tenant = [{name = 'crew'}]\n",
		"version = 2\nagainst = 1\nadd.limit = [{name = 'l', tenant = 'crew', requestsPerSecond = 0.5, burst = 1, concurrent = 1}]\n",
		"version = 2\nagainst = 1\ntakeOut = ['c1']\nwithdraw.limit = ['netsLimit']\nwithdraw.route = ['nets']\n",
		"version = 2\nagainst = 1\nadd.route = [{name = 'r', service = 'vault', homeRegions = ['otago'], host = 'b', pathPrefix = '/&', methods = ['GET'], class = 'bulk', timeout = '1.5s'}]\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := qt.New(t)
		next, slice := snap.Fold(full, 2, data, received)
		for _, region := range allRegions {
			applied, err := snap.Apply(snap.ForRegion(full, region), snap.Restrict(slice, region))
			c.Assert(err, qt.IsNil)
			c.Assert(applied, qt.DeepEquals, snap.ForRegion(next, region))
		}
	})
}
