package load

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

// timerSlack is the last part of a wait, left to nanosleep: timers of the Go runtime have a
// resolution of about 1 ms, which would show up as latency.
const timerSlack = 2 * time.Millisecond

// pace calls launch at a fixed rate with the intended time of each call, until ctx ends or
// the duration has passed (0 means no limit). It never skips a call: one that is late keeps
// its intended time, so that latencies include the delay (no coordinated omission).
func pace(ctx context.Context, rate float64, duration time.Duration, launch func(n int64, intended time.Time)) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	start := time.Now()
	for n := int64(0); ; n++ {
		offset := time.Duration(float64(n) / rate * float64(time.Second))
		if duration > 0 && offset >= duration {
			return
		}
		intended := start.Add(offset)
		if !waitUntil(ctx, intended) {
			return
		}
		launch(n, intended)
	}
}

// waitUntil waits until t and returns false if ctx has ended.
func waitUntil(ctx context.Context, t time.Time) bool {
	if left := time.Until(t); left > timerSlack {
		timer := time.NewTimer(left - timerSlack)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	for left := time.Until(t); left > 0; left = time.Until(t) {
		timespec := syscall.NsecToTimespec(int64(left))
		_ = syscall.Nanosleep(&timespec, nil)
	}
	return ctx.Err() == nil
}
