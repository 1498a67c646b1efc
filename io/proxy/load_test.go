package proxy

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/route"
)

// TestParseLoad guards against load reports that are lost, or misread, while daemons of different
// releases work together.
func TestParseLoad(t *testing.T) {
	full := route.LoadReport{
		InFlight:     3,
		Limit:        6,
		QueueTime:    2 * time.Millisecond,
		ServiceTime:  50 * time.Millisecond,
		FailureRatio: 0.01,
	}
	withLink := full
	withLink.Slowness, withLink.LinkRate, withLink.LinkWait = 2.5, 2_000_000, 45*time.Millisecond
	cases := []struct {
		load, hostLoad string
		form           loadForm
		want           route.LoadReport
	}{
		{load: "3/6", form: loadOnly, want: route.LoadReport{InFlight: 3, Limit: 6}},
		{load: "3/6/2000/50000/10", form: loadWithEstimate, want: full},
		{load: "3/6/2000/50000/10", hostLoad: "250/2000000/45000", form: loadWithEstimate, want: withLink},
		{load: "3/6/2000/50000/10", hostLoad: "250/2000000/45000/7/of a later release", form: loadWithEstimate, want: withLink},
		{load: "3/6/2000/50000/10", hostLoad: "250/2000000", form: loadWithEstimate, want: full},
		{load: "3/6/2000/50000/10", hostLoad: "250/x/45000", form: loadWithEstimate, want: full},
		{load: "", hostLoad: "250/2000000/45000"},
		{load: "3"},
		{load: "3/6/2000"},
		{load: "3/6/2000/50000/10/250"},
		{load: "3/-6"},
		{load: "3/x"},
	}
	for _, tc := range cases {
		t.Run(tc.load+" "+tc.hostLoad, func(t *testing.T) {
			report, form := parseLoad(tc.load, tc.hostLoad)
			qt.Assert(t, form, qt.Equals, tc.form)
			qt.Assert(t, report, qt.Equals, tc.want)
		})
	}
}

// TestSlownessReachesEntries guards against a slowness that the upstream reports and no entry hears of.
func TestSlownessReachesEntries(t *testing.T) {
	c := qt.New(t)
	percent := "100"
	rig := newMeshRig(t, nil, largeBudget, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Slowness", percent)
		signedHandler(w, r)
	})
	slowness := func() float64 {
		gate := rig.hosts[0].gate
		gate.mu.Lock()
		defer gate.mu.Unlock()
		return gate.admission.Estimate(time.Now(), "lookup").Slowness
	}
	c.Assert(rig.send("GET", "/lookup/1", "").status, qt.Equals, http.StatusOK)
	c.Assert(slowness(), qt.Equals, 1.0)
	percent = "300"
	c.Assert(rig.send("GET", "/lookup/1", "").status, qt.Equals, http.StatusOK)
	c.Assert(slowness() > 1, qt.IsTrue)
	call := &gateCall{
		gate:     rig.hosts[0].gate,
		snapshot: &core.Snapshot{},
	}
	header := http.Header{}
	call.setOwnHeaders(header)
	// Entries of earlier releases drop a load of more than five numbers.
	c.Assert(strings.Count(header.Get(HeaderLoad), "/"), qt.Equals, estimateNumbers-1)
	report, _ := parseLoad(header.Get(HeaderLoad), header.Get(HeaderHostLoad))
	c.Assert(report.Slowness > 1, qt.IsTrue)
}
