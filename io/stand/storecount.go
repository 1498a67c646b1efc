package stand

import "time"

// StoreCounters are the counts of a store stand-in since its start or the last reset.
type StoreCounters struct {
	// Operations counts accepted calls, plus one for each second that a call was parked.
	Operations int64 `json:"operations"`
	Values     int64 `json:"values"`
	Watches    int64 `json:"watches"`
	Hosts      int64 `json:"hosts"`
	Puts       int64 `json:"puts"`
	// Refused counts calls answered with 429; they are not in Operations.
	Refused int64 `json:"refused"`
	// PeakOperations is the maximum of operations in one second of the clock; PeakOffered
	// includes refused calls.
	PeakOperations int64 `json:"peakOperations"`
	PeakOffered    int64 `json:"peakOffered"`
	// Parked is the number of parked calls: watches and host list polls that wait for a change now.
	Parked     int64 `json:"parked"`
	PeakParked int64 `json:"peakParked"`
	// BytesIn and BytesOut count the bytes of bodies, without headers.
	BytesIn  int64 `json:"bytesIn"`
	BytesOut int64 `json:"bytesOut"`
	// Seconds is the time since the start or the last reset.
	Seconds             float64 `json:"seconds"`
	OperationsPerSecond float64 `json:"operationsPerSecond"`
}

// storeCounter counts operations per second of the clock. The number of parked calls changes only
// in park, which first advances the counter, so the seconds since the previous advance have the
// same number of parked calls and are charged together. The lock of the store protects it.
type storeCounter struct {
	limit    int64
	since    time.Time
	second   int64
	accepted int64 // operations in the current second
	offered  int64 // operations and refused calls in the current second
	counts   StoreCounters
}

func newStoreCounter(limit int, now time.Time) storeCounter {
	return storeCounter{
		limit:  int64(limit),
		since:  now,
		second: now.Unix(),
	}
}

// advance charges the parked calls for the seconds begun since the previous advance.
func (c *storeCounter) advance(now time.Time) {
	seconds := now.Unix() - c.second
	if seconds <= 0 {
		return
	}
	c.second = now.Unix()
	c.counts.Operations += seconds * c.counts.Parked
	c.accepted = c.counts.Parked
	c.offered = c.counts.Parked
	c.updatePeaks()
}

// admit counts one call, also in calls if it is accepted. It returns false if the call is over
// the limit.
func (c *storeCounter) admit(now time.Time, calls *int64) bool {
	c.advance(now)
	c.offered++
	defer c.updatePeaks()
	if c.limit > 0 && c.accepted >= c.limit {
		c.counts.Refused++
		return false
	}
	c.accepted++
	c.counts.Operations++
	*calls++
	return true
}

func (c *storeCounter) park(now time.Time, change int64) {
	c.advance(now)
	c.counts.Parked += change
	c.counts.PeakParked = max(c.counts.PeakParked, c.counts.Parked)
}

func (c *storeCounter) updatePeaks() {
	c.counts.PeakOperations = max(c.counts.PeakOperations, c.accepted)
	c.counts.PeakOffered = max(c.counts.PeakOffered, c.offered)
}

func (c *storeCounter) snapshot(now time.Time) StoreCounters {
	c.advance(now)
	counts := c.counts
	counts.Seconds = now.Sub(c.since).Seconds()
	if counts.Seconds > 0 {
		counts.OperationsPerSecond = float64(counts.Operations) / counts.Seconds
	}
	return counts
}

// reset clears all counts except the number of parked calls.
func (c *storeCounter) reset(now time.Time) {
	parked := c.counts.Parked
	limit := c.limit
	*c = newStoreCounter(int(limit), now)
	c.counts.Parked = parked
	c.counts.PeakParked = parked
}
