package proxy

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
		text string
		form loadForm
		want route.LoadReport
	}{
		{text: "3/6", form: loadOnly, want: route.LoadReport{InFlight: 3, Limit: 6}},
		{text: "3/6/2000/50000/10", form: loadWithEstimate, want: full},
		{text: "3/6/2000/50000/10/250/2000000/45000", form: loadWithEstimate, want: withLink},
		{text: "3/6/2000/50000/10/250/2000000/45000/7/of a later release", form: loadWithEstimate, want: withLink},
		{text: ""},
		{text: "3"},
		{text: "3/6/2000"},
		{text: "3/6/2000/50000/10/250"},
		{text: "3/-6"},
		{text: "3/x"},
	}
	for _, tc := range cases {
		t.Run(tc.text, func(t *testing.T) {
			report, form := parseLoad(tc.text)
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
}
