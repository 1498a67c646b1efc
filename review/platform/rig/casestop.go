package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["stop-pipeline"] = playStopPipeline
}

// playStopPipeline lets clients send idempotent requests behind each other on kept connections. With the
// disruption, the daemons get SIGTERM in turn and are started again.
func playStopPipeline(f *fleet, opts options) (verdict, error) {
	const (
		service        = "gowu98c"
		callersPerHost = 6
		depth          = 3
		deadline       = 5 * time.Second
		work           = 600 * time.Millisecond
		calmTime       = 4 * time.Second
		stopGap        = 12 * time.Second
	)
	for i, zone := range []string{"chc-a", "chc-b", "gmn-a", "gmn-b"} {
		_, err := f.addHost(zone, service, upstreamConfig{
			slots: 30,
			work:  func(string) time.Duration { return work },
			seed:  opts.Seed*100 + uint64(i),
		})
		if err != nil {
			return verdict{}, err
		}
	}
	f.publish(f.configuration([]routeSpec{{
		prefix: "/fiti832/", service: service, kind: "idempotent", timeout: 3 * time.Second, target: 2 * time.Second, maxAttempts: 2,
	}}, 0))
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	var sent attempts
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, h := range f.hosts {
		for range callersPerHost {
			group.Go(func() {
				var conn *clientConn
				for {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
					if conn == nil && !f.isReady(h) {
						continue
					}
					conn = f.sendPipeline(conn, h, depth, deadline, &sent)
				}
			})
		}
	}
	time.Sleep(calmTime)
	var stops []plannedStop
	for _, h := range f.hosts[:2] {
		if opts.Trouble {
			stops = append(stops, plannedStop{host: h, at: time.Now()})
			if err := f.signal(h, syscall.SIGTERM); err != nil {
				return verdict{}, err
			}
			<-h.exited
			if err := f.start(h); err != nil {
				return verdict{}, err
			}
		}
		time.Sleep(stopGap)
	}
	close(stop)
	group.Wait()
	return judgeStops(f, &sent, stops), nil
}

// sendPipeline sends requests behind each other on a connection and reads their answers.
func (f *fleet) sendPipeline(conn *clientConn, h *host, depth int, deadline time.Duration, sent *attempts) *clientConn {
	if conn == nil {
		var err error
		if conn, err = dialClient(f, h); err != nil {
			return nil
		}
	}
	var text strings.Builder
	list := make([]attempt, depth)
	for i := range list {
		list[i] = attempt{id: newRequestID(), method: http.MethodGet, path: "/fiti832/2f", host: h, sentAt: time.Now()}
		text.WriteString(requestText(list[i], deadline, ""))
		f.record.add("client at %s sends %s, number %d on its connection", h.name, list[i].id, i+1)
	}
	_, err := io.WriteString(conn.conn, text.String())
	isKept := err == nil
	for i := range list {
		one := &list[i]
		one.err = err
		if isKept {
			isKept = conn.read(one, deadline)
		}
		one.endedAt = time.Now()
		f.record.add("client at %s got for %s: status %d, error %v", h.name, one.id, one.status, one.err)
		sent.add(*one)
	}
	if !isKept {
		_ = conn.conn.Close()
		return nil
	}
	return conn
}

// plannedStop is a SIGTERM of a daemon.
type plannedStop struct {
	host *host
	at   time.Time
}

// judgeStops checks LOST: around a SIGTERM, a request was passed on to an upstream, and its connection
// ended without a complete answer.
func judgeStops(f *fleet, sent *attempts, stops []plannedStop) verdict {
	var v verdict
	counts := map[int]int{}
	for _, one := range sent.list {
		counts[one.status]++
		ran := f.runs.of(one.id)
		if one.status != 0 || len(ran) == 0 {
			continue
		}
		for _, s := range stops {
			isAround := one.endedAt.After(s.at) && one.sentAt.Before(s.at.Add(graceTime+time.Second))
			isLate := one.endedAt.After(s.at.Add(graceTime * 5 / 6))
			if one.host == s.host && isAround && !isLate {
				v.broken = append(v.broken, fmt.Sprintf("LOST: %s, sent at %s %.3f s after the SIGTERM, was passed on to %s at %.3f s, and its connection ended without an answer at %.3f s",
					one.id, s.host.name, one.sentAt.Sub(s.at).Seconds(), ran[0].by, ran[0].at.Sub(s.at).Seconds(), one.endedAt.Sub(s.at).Seconds()))
			}
		}
	}
	v.summary = fmt.Sprintf("%d requests, answers by status %v, %d planned stops", len(sent.list), counts, len(stops))
	return v
}
