package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"verbenaway/core"
)

const (
	tick = 10 * time.Millisecond
	// heartbeat is the time between two registrations, of which three missing ones end a registration.
	heartbeat = 1500 * time.Millisecond
	// viewLag is the longest time that a change takes to reach a daemon with contact to the store.
	viewLag = 1500 * time.Millisecond
	// zoneDelay and otherZoneDelay are the mean times that messages take.
	zoneDelay      = 2 * time.Millisecond
	otherZoneDelay = 20 * time.Millisecond
	askTimeout     = 150 * time.Millisecond
	tenant         = core.TenantName("acme")
)

var testBounds = Bounds{
	Window:  5 * time.Second,
	Overage: 0.25,
	Slack:   20,
}

// world is a fleet with a store, in which each daemon does what io/quota does.
type world struct {
	random  *rand.Rand
	now     time.Time
	spec    core.QuotaSpec
	daemons []*node
	// isStoreDown stops all changes of views.
	isStoreDown bool
	// loss and duplication are the shares of messages that are lost and delivered twice.
	loss        float64
	duplication float64
	// returned is the part of the requests that do not run and give their permit back.
	returned float64
	// ideal serves the same requests from a single bucket, at no delay.
	ideal        Bucket
	idealRefused []time.Time
	// served holds the times at which requests were let through, refused those of refusals.
	served  []time.Time
	refused []time.Time
	// specs holds the quotas that some daemon had at a time.
	specs []heldSpec
}

type heldSpec struct {
	at    time.Time
	limit float64
}

type node struct {
	host  core.Host
	index int
	// isRegistered is the truth of the store; lastBeat is the last registration.
	isRegistered bool
	isRemoved    bool
	lastBeat     time.Time
	isDown       bool
	isCut        bool
	// group is that of the daemons that reach each other while cut off.
	group     int
	contactAt time.Time
	nextView  time.Time
	startedAt time.Time
	spec      core.QuotaSpec
	ring      *Ring
	account   Account
	bucket    Bucket
	outage    Outage
	// waiting holds the deadlines of requests that wait for a permit.
	waiting []time.Time
	unused  []unusedPermit
	// asks are the outstanding requests to granters.
	asks      []pendingAsk
	askNumber int
	inbox     []message
	// load is the number of requests a second.
	load float64
}

type pendingAsk struct {
	number  int
	host    core.Host
	askedAt time.Time
}

type message struct {
	at      time.Time
	sender  *node
	number  int
	want    int
	isReply bool
	grant   Grant
}

func newWorld(random *rand.Rand, zones, perZone int, spec core.QuotaSpec) *world {
	w := &world{
		random: random,
		now:    time.Unix(1000, 0),
		spec:   spec,
	}
	for i := range zones * perZone {
		w.daemons = append(w.daemons, &node{
			index: i,
			host: core.Host{
				Name:             core.HostName(fmt.Sprintf("10.0.%d.%d:80", i%zones, i)),
				AvailabilityZone: core.AvailabilityZone(fmt.Sprintf("az%d", i%zones)),
				Region:           core.Region(fmt.Sprintf("region%d", i%zones/2)),
			},
			isRegistered: true,
		})
	}
	for _, n := range w.daemons {
		w.start(n)
	}
	return w
}

// start gives a daemon an empty memory.
func (w *world) start(n *node) {
	n.isDown, n.startedAt, n.contactAt = false, w.now, w.now
	n.ring, n.account, n.bucket, n.outage = nil, Account{}, Bucket{}, Outage{}
	n.waiting, n.asks, n.inbox = nil, nil, nil
	n.spec = w.spec
	n.nextView = w.now
	w.updateView(n)
}

func (w *world) hosts() []core.Host {
	var hosts []core.Host
	for _, n := range w.daemons {
		if n.isRegistered {
			hosts = append(hosts, n.host)
		}
	}
	return hosts
}

func (w *world) updateView(n *node) {
	hosts := w.hosts()
	if len(hosts) > 0 && (n.ring == nil || !n.ring.HasSameHosts(hosts)) {
		n.ring = NewRing(w.now, n.host, hosts, n.ring)
	}
	n.spec = w.spec
}

func (w *world) step() {
	w.now = w.now.Add(tick)
	for _, n := range w.daemons {
		w.stepStore(n)
	}
	for _, n := range w.daemons {
		if n.isDown {
			continue
		}
		w.specs = append(w.specs, heldSpec{
			at:    w.now,
			limit: testBounds.Limit(n.spec),
		})
		if n.ring == nil {
			w.updateView(n)
			continue
		}
		w.receive(n)
		if w.random.Float64() < n.load*tick.Seconds() {
			w.request(n)
		}
		w.serve(n)
	}
}

// stepStore lets the upstream of a daemon register and the daemon see the store.
func (w *world) stepStore(n *node) {
	if w.isStoreDown {
		return
	}
	// Upstreams go on while the daemon beside them is down.
	if !n.isCut && !n.isRemoved && w.now.Sub(n.lastBeat) >= heartbeat {
		n.isRegistered, n.lastBeat = true, w.now
	}
	if n.isRemoved || w.now.Sub(n.lastBeat) > 3*heartbeat {
		n.isRegistered = false
	}
	if n.isDown || n.isCut || w.now.Before(n.nextView) {
		return
	}
	isLost := w.now.Sub(n.contactAt) >= 3*heartbeat && !n.outage.IsConfirmedAt(w.now)
	n.contactAt = w.now
	n.nextView = w.now.Add(time.Duration(w.random.Int64N(int64(viewLag))))
	w.updateView(n)
	if isLost && n.ring != nil {
		n.ring = n.ring.Rejoined(w.now)
	}
}

func (w *world) request(n *node) {
	granted, _ := w.ideal.Grant(w.now, Fill{
		Standing: Standing{
			IsGranter: true,
			From:      time.Unix(1000, 0),
		},
		Spec:  w.spec,
		Zones: 1,
		Share: 1,
	}, 1)
	if granted == 0 {
		w.idealRefused = append(w.idealRefused, w.now)
	}
	n.account.Observe(w.now)
	n.waiting = append(n.waiting, w.now.Add(PermitLifetime))
}

// unusedPermit is the permit of a request that does not run, which is given back at a time.
type unusedPermit struct {
	at          time.Time
	usableUntil time.Time
}

// serve does what Keeper.Take does for all waiting requests.
func (w *world) serve(n *node) {
	n.asks = slices.DeleteFunc(n.asks, func(p pendingAsk) bool {
		if w.now.Sub(p.askedAt) < askTimeout {
			return false
		}
		n.account.Fail(w.now, p.host.Name)
		return true
	})
	n.unused = slices.DeleteFunc(n.unused, func(p unusedPermit) bool {
		if w.now.Before(p.at) {
			return false
		}
		n.account.GiveBack(w.now, p.usableUntil)
		return true
	})
	for len(n.waiting) > 0 {
		if usableUntil, ok := n.account.Spend(w.now); ok {
			n.waiting = n.waiting[1:]
			if w.returned > 0 && w.random.Float64() < w.returned {
				n.unused = append(n.unused, unusedPermit{
					at:          w.now.Add(time.Duration(w.random.Float64() * 1.3 * float64(PermitLifetime))),
					usableUntil: usableUntil,
				})
				continue
			}
			w.served = append(w.served, w.now)
			continue
		}
		granters := n.ring.Granters(tenant)
		if !w.now.Before(n.waiting[0]) {
			w.refuse(n, granters)
			continue
		}
		switch step, host, want := n.account.Next(w.now, granters, len(n.waiting)); step {
		case StepWait:
			return
		case StepRefuse:
			w.refuse(n, granters)
		case StepAsk:
			w.ask(n, host, want)
		}
	}
}

func (w *world) refuse(n *node, granters []core.Host) {
	n.waiting = n.waiting[1:]
	_, isUnknown := n.account.Refusal(w.now, granters)
	rank, ok := n.ring.Rank(tenant)
	units := ReserveUnits(testBounds, n.spec, n.ring.ZoneCount(w.now), n.ring.Size(), rank)
	if isUnknown && ok && n.account.Reserve(w.now, n.startedAt, testBounds.Window, units) {
		w.served = append(w.served, w.now)
		return
	}
	w.refused = append(w.refused, w.now)
}

func (w *world) ask(n *node, host core.Host, want int) {
	if host.Name == n.host.Name {
		n.account.Apply(w.now, w.now, host.Name, w.grant(n, want), true)
		return
	}
	n.askNumber++
	n.asks = append(n.asks, pendingAsk{
		number:  n.askNumber,
		host:    host,
		askedAt: w.now,
	})
	for _, other := range w.daemons {
		if other.host.Name == host.Name {
			w.send(n, other, message{
				sender: n,
				number: n.askNumber,
				want:   want,
			})
		}
	}
}

func (w *world) send(from, to *node, m message) {
	if !w.isReachable(from, to) {
		return
	}
	if w.random.Float64() < w.loss {
		return
	}
	copies := 1
	if w.random.Float64() < w.duplication {
		copies = 2
	}
	for range copies {
		delay := zoneDelay
		if from.host.AvailabilityZone != to.host.AvailabilityZone {
			delay = otherZoneDelay
		}
		m.at = w.now.Add(delay/2 + time.Duration(w.random.Int64N(int64(delay))))
		to.inbox = append(to.inbox, m)
	}
}

func (w *world) receive(n *node) {
	inbox := n.inbox
	n.inbox = nil
	for _, m := range inbox {
		switch {
		case m.at.After(w.now):
			n.inbox = append(n.inbox, m)
		case !m.isReply:
			w.send(n, m.sender, message{
				sender:  n,
				number:  m.number,
				isReply: true,
				grant:   w.grant(n, m.want),
			})
		default:
			i := slices.IndexFunc(n.asks, func(p pendingAsk) bool { return p.number == m.number })
			if i < 0 {
				continue
			}
			n.account.Apply(w.now, n.asks[i].askedAt, m.sender.host.Name, m.grant, m.sender.host.AvailabilityZone == n.host.AvailabilityZone)
			n.asks = slices.Delete(n.asks, i, i+1)
		}
	}
}

func (w *world) grant(n *node, want int) Grant {
	fill := Fill{
		Standing: n.ring.Standing(tenant),
		Spec:     n.spec,
		Bounds:   testBounds,
		Zones:    n.ring.ZoneCount(w.now),
	}
	var isProbeDue bool
	if fill.Share, isProbeDue = n.outage.Share(w.now, w.now.Sub(n.contactAt), 3*heartbeat); isProbeDue {
		w.probe(n)
	}
	granted, retryAfter := n.bucket.Grant(w.now, fill, want)
	return Grant{
		Granted:    granted,
		RetryAfter: retryAfter,
		IsInactive: !fill.Standing.IsGranter || granted == 0 && w.now.Before(fill.Standing.From),
	}
}

// probe asks others whether they have contact with the store.
func (w *world) probe(n *node) {
	hosts := n.ring.Probes(w.random.Uint64())
	result := ProbeResult{
		Asked: len(hosts),
	}
	for _, host := range hosts {
		for _, other := range w.daemons {
			if other.host.Name != host.Name || other.isDown || !w.isReachable(n, other) || w.random.Float64() < w.loss {
				continue
			}
			result.Answered++
			if w.now.Sub(other.contactAt) < 2*viewLag {
				result.InContact++
			}
			if other.ring != nil && other.ring.Hash() == n.ring.Hash() {
				result.Agreeing++
			}
		}
	}
	n.outage.Conclude(w.now, result)
}

// cutGranters cuts off the granters of all zones, each alone, or ends that for all daemons.
func (w *world) cutGranters(isCut bool) {
	granters := NewRing(w.now, w.daemons[0].host, w.hosts(), nil).Granters(tenant)
	for i, n := range w.daemons {
		isGranter := slices.ContainsFunc(granters, func(host core.Host) bool { return host.Name == n.host.Name })
		n.isCut, n.group = isCut && isGranter, i
	}
}

func (w *world) isReachable(from, to *node) bool {
	return !from.isCut && !to.isCut || from.isCut && to.isCut && from.group == to.group
}

// worstWindow returns the highest ratio of the requests within a window to the limit, and the time at
// which it was reached. A lower quota counts one window after all daemons have it.
func (w *world) worstWindow() (ratio float64, at time.Time) {
	firstServed, firstSpec, limits := 0, 0, []heldSpec(nil)
	for i, end := range w.served {
		for !w.served[firstServed].After(end.Add(-testBounds.Window)) {
			firstServed++
		}
		for firstSpec < len(w.specs) && !w.specs[firstSpec].at.After(end) {
			for len(limits) > 0 && limits[len(limits)-1].limit <= w.specs[firstSpec].limit {
				limits = limits[:len(limits)-1]
			}
			limits = append(limits, w.specs[firstSpec])
			firstSpec++
		}
		for !limits[0].at.After(end.Add(-2 * testBounds.Window)) {
			limits = limits[1:]
		}
		if r := float64(i-firstServed+1) / limits[0].limit; r > ratio {
			ratio, at = r, end
		}
	}
	return ratio, at
}

func countSince(times []time.Time, since time.Time) int {
	count := 0
	for _, at := range times {
		if !at.Before(since) {
			count++
		}
	}
	return count
}
