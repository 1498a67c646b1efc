package kernel_test

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"verbenaway/io/kernel"
)

type recorder struct {
	name string
	fail bool
	log  *[]string
}

func (r *recorder) Name() string {
	return r.name
}

func (r *recorder) Start(context.Context) error {
	*r.log = append(*r.log, "start "+r.name)
	if r.fail {
		return errors.New("failed")
	}
	return nil
}

func (r *recorder) Stop(context.Context) error {
	*r.log = append(*r.log, "stop "+r.name)
	return nil
}

// TestStartStopOrder guards against a service that stops after one that it depends on, and
// against services left running after a failed start.
func TestStartStopOrder(t *testing.T) {
	tests := []struct {
		name string
		fail string
		want []string
	}{
		{name: "all start", want: []string{"start a", "start b", "start c", "stop c", "stop b", "stop a"}},
		{name: "one fails", fail: "b", want: []string{"start a", "start b", "stop a"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var log []string
			k := kernel.New()
			for _, name := range []string{"a", "b", "c"} {
				c.Assert(k.Add(&recorder{name: name, fail: name == test.fail, log: &log}), qt.IsNil)
			}
			err := k.Start(context.Background())
			c.Assert(err != nil, qt.Equals, test.fail != "")
			c.Assert(k.Stop(context.Background()), qt.IsNil)
			c.Assert(log, qt.DeepEquals, test.want)
		})
	}
}

// TestLookup guards against a registered service that is not found, and against two services
// with the same name.
func TestLookup(t *testing.T) {
	c := qt.New(t)
	k := kernel.New()
	service := &recorder{name: "a"}
	c.Assert(k.Add(service), qt.IsNil)
	c.Assert(k.Add(service), qt.ErrorMatches, `service "a" is registered twice`)
	found, err := kernel.Lookup[*recorder](k, "a")
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.Equals, service)
	_, err = kernel.Lookup[*recorder](k, "b")
	c.Assert(err, qt.ErrorMatches, `no service "b" of the requested type`)
}
