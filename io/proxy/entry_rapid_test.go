package proxy

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"verbenaway/core"
)

// oracle is the handler of all fake gatekeepers in a rapid test. It injects faults and records which
// requests ran.
type oracle struct {
	mu   sync.Mutex
	view *fakeView
	// faults holds the faults of the next requests, in order; later requests have none.
	faults       []string
	runsByID     map[string]int
	violations   []string
	nextSnapshot *core.Snapshot
}

// nextFault checks that the host may receive requests now, and returns the next fault.
func (o *oracle) nextFault(host core.Host) string {
	snapshot, _ := o.view.Snapshot()
	o.mu.Lock()
	defer o.mu.Unlock()
	homeRegions := snapshot.Routes["order"].HomeRegions
	if len(homeRegions) > 0 && !slices.Contains(homeRegions, host.Region) {
		o.violations = append(o.violations, fmt.Sprintf("%s in region %s received a request that is limited to %v", host.Name, host.Region, homeRegions))
	}
	if snapshot.Out[host.AvailabilityZone] {
		o.violations = append(o.violations, fmt.Sprintf("%s received a request although its availability zone %s is out", host.Name, host.AvailabilityZone))
	}
	if len(o.faults) == 0 {
		return "none"
	}
	fault := o.faults[0]
	o.faults = o.faults[1:]
	return fault
}

// applyNext changes the configuration while a request is in flight.
func (o *oracle) applyNext() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.view.change(func() { o.view.snapshot = o.nextSnapshot })
}

var rapidFaults = []string{"none", "refused", "limited", "swapped", "unread", "partlyReadRefused", "closedUnrun", "closedRun", "closedRunSwapped", "cut"}

func (o *oracle) serve(host core.Host, w http.ResponseWriter, r *http.Request) {
	fault := o.nextFault(host)
	switch fault {
	case "refused":
		Refuse(w, core.Overloaded, fault)
		return
	case "limited":
		Refuse(w, core.Limited, fault)
		return
	case "partlyReadRefused":
		_, _ = io.ReadFull(r.Body, make([]byte, 1000))
		Refuse(w, core.Overloaded, fault)
		return
	case "swapped":
		o.applyNext()
		Refuse(w, core.Cold, fault)
		return
	case "unread":
		// After a panic, the server would wait for a body that the entry does not send.
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = conn.Close()
		}
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || fault == "closedUnrun" {
		panic(http.ErrAbortHandler)
	}
	id, _, _ := strings.Cut(string(body), " ")
	o.mu.Lock()
	if snapshot, _ := o.view.Snapshot(); o.runsByID[id] > 0 && !snapshot.Routes["order"].Idempotent {
		o.violations = append(o.violations, id+" ran again although its route is not idempotent")
	}
	o.runsByID[id]++
	o.mu.Unlock()
	if fault == "closedRunSwapped" {
		o.applyNext()
	}
	if strings.HasPrefix(fault, "closedRun") {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if fault == "cut" {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// drawSnapshot draws the home regions, the idempotency and the availability zone that is out.
func drawSnapshot(t *rapid.T, version core.Version, label string) *core.Snapshot {
	snapshot := entrySnapshot()
	snapshot.Version = version
	homeRegions := rapid.SampledFrom([][]core.Region{nil, {"canterbury"}, {"canterbury", "otago"}, {"otago"}}).Draw(t, label+"Homes")
	spec := snapshot.Routes["order"]
	spec.HomeRegions = homeRegions
	spec.Idempotent = rapid.Bool().Draw(t, label+"Idempotent")
	snapshot.Routes["order"] = spec
	out := rapid.SampledFrom([]core.AvailabilityZone{"", "canterbury-1", "canterbury-2", "otago-1"}).Draw(t, label+"Out")
	snapshot.Out = map[core.AvailabilityZone]bool{out: true}
	return snapshot
}

// TestEntryOracle guards against an order that runs twice, a wrong "not run", an answer that is
// incomplete or of another request, and requests outside the home regions or in an availability zone
// that is out, while the configuration changes between the attempts of a request.
func TestEntryOracle(t *testing.T) {
	var current atomic.Pointer[oracle]
	hosts := make([]core.Host, 4)
	for i := range hosts {
		address := startGate(t, func(w http.ResponseWriter, r *http.Request) { current.Load().serve(hosts[i], w, r) })
		hosts[i] = gateHost(fmt.Sprintf("h%d", i), address)
		hosts[i].AvailabilityZone = []core.AvailabilityZone{"canterbury-1", "canterbury-1", "canterbury-2", "otago-1"}[i]
	}
	hosts[3].Region = "otago"
	outer := t
	rapid.Check(t, func(t *rapid.T) {
		rig := newEntryRig(outer, nil, hosts...)
		defer rig.close()
		o := &oracle{view: rig.view, runsByID: map[string]int{}}
		current.Store(o)
		for i := range rapid.IntRange(1, 6).Draw(t, "requests") {
			snapshot := drawSnapshot(t, core.Version(2*i+1), "old")
			rig.view.change(func() { rig.view.snapshot = snapshot })
			next := drawSnapshot(t, core.Version(2*i+2), "new")
			faults := rapid.SliceOfN(rapid.SampledFrom(rapidFaults), 0, 4).Draw(t, "faults")
			o.mu.Lock()
			o.nextSnapshot, o.faults = next, faults
			o.mu.Unlock()
			id := fmt.Sprintf("id%d", i)
			size := rapid.SampledFrom([]int{0, 5000, maxBufferedBytes + 1}).Draw(t, "size")
			body := id + " " + strings.Repeat("x", size)
			chunked := rapid.Bool().Draw(t, "chunked")
			a := rig.do(rig.request("POST", "/order", body, func(r *http.Request) {
				if chunked {
					r.ContentLength = -1
				}
			}))
			checkAnswer(t, o, id, body, a)
		}
	})
}

func checkAnswer(t *rapid.T, o *oracle, id, body string, a answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ran := o.runsByID[id]
	switch {
	case len(o.violations) > 0:
		t.Fatalf("%v", o.violations)
	case a.err == nil && a.kind == "" && (a.body != body || ran == 0):
		t.Fatalf("%s ran %d times, but the caller received %.40q", id, ran, a.body)
	case a.outcome == OutcomeNotRun && ran > 0:
		t.Fatalf("%s ran %d times, but the answer is %s and not run", id, ran, a.kind)
	}
}
