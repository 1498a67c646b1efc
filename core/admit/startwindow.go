package admit

import "time"

// coldRateWindow is the time over which the platform counts the requests to a cold upstream.
const coldRateWindow = time.Second

// maxWindowStarts bounds the memory of a startWindow. Higher rates are not limited; no upstream
// that needs a cold start can take as many requests.
const maxWindowStarts = 4096

// startWindow records when the latest requests started, so that at most a given number starts
// within any window.
type startWindow struct {
	// times is a ring buffer; oldest is the index of the oldest entry.
	times  []time.Time
	oldest int
	// unknownUntil is the end of the time in which an earlier process may have used the whole window, zero if
	// there was none.
	unknownUntil time.Time
}

// record adds the start of a request.
func (w *startWindow) record(now time.Time, perWindow int) {
	w.resize(min(perWindow, maxWindowStarts))
	if len(w.times) == 0 {
		return
	}
	w.times[w.oldest] = now
	w.oldest = (w.oldest + 1) % len(w.times)
}

// resize changes the size of the ring buffer and keeps the latest times.
func (w *startWindow) resize(size int) {
	if len(w.times) == size {
		return
	}
	resized := make([]time.Time, size)
	kept := min(size, len(w.times))
	for i := range kept {
		// From the newest backwards into the end of the new ring.
		resized[size-1-i] = w.times[(w.oldest-1-i+2*len(w.times))%len(w.times)]
	}
	w.times, w.oldest = resized, 0
}

// allows tells whether a request may start now.
func (w *startWindow) allows(now time.Time, perWindow int) bool {
	return w.remaining(now, perWindow) > 0
}

// remaining returns how many requests may start now.
func (w *startWindow) remaining(now time.Time, perWindow int) int {
	if now.Before(w.unknownUntil) {
		return 0
	}
	recent := 0
	for _, at := range w.times {
		if !at.IsZero() && now.Sub(at) < coldRateWindow {
			recent++
		}
	}
	return max(perWindow-recent, 0)
}

// nextFree returns the time at which the oldest recorded start leaves the window.
func (w *startWindow) nextFree(perWindow int) time.Time {
	w.resize(min(perWindow, maxWindowStarts))
	free := w.times[w.oldest].Add(coldRateWindow)
	if free.Before(w.unknownUntil) {
		return w.unknownUntil
	}
	return free
}
