package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"masticladder/masticproto"
)

// BenchmarkRestart reports the time from the start of a process, after 300 changes, to its
// first served request: for one restarted host of three, and for the last of three hosts that
// were killed together.
func BenchmarkRestart(b *testing.B) {
	fleet, _ := startFleet(b)
	for i := range 300 {
		publishUntilAccepted(b, fleet, fmt.Sprintf("change-%d", i), profileChange(i))
	}
	var one, all time.Duration
	for b.Loop() {
		fleet[0].kill()
		one += timeUntilServing(b, fleet[0])
		for _, p := range fleet {
			p.kill()
		}
		all += timeUntilServing(b, fleet...)
	}
	b.ReportMetric(float64(one.Milliseconds())/float64(b.N), "one-ms")
	b.ReportMetric(float64(all.Milliseconds())/float64(b.N), "all-ms")
}

// timeUntilServing starts the hosts and returns the time until the last of them has served a request.
func timeUntilServing(b *testing.B, hosts ...*process) time.Duration {
	started := time.Now()
	for _, p := range hosts {
		p.start()
	}
	for _, p := range hosts {
		waitServing(b, p)
	}
	return time.Since(started)
}

// steadyCaller sends requests to the hosts in turn until it is stopped, and counts the refused ones.
type steadyCaller struct {
	hosts   []*process
	stopped atomic.Bool
	done    sync.WaitGroup
	sent    int
	refused int
}

func (s *steadyCaller) run() {
	defer s.done.Done()
	for !s.stopped.Load() {
		for _, p := range s.hosts {
			s.sent++
			if p.chat(testKey, "during the change of leader").status != http.StatusOK {
				s.refused++
			}
		}
	}
}

// BenchmarkLeaderKill reports the time from SIGKILL of the leader to the next accepted
// change, and the number of requests that the other hosts refused in that time.
func BenchmarkLeaderKill(b *testing.B) {
	fleet, _ := startFleet(b)
	var total time.Duration
	sent, refused, number := 0, 0, 0
	for b.Loop() {
		leader := waitLeader(b, fleet...)
		caller := &steadyCaller{hosts: (&relayedFleet{fleet: fleet}).without(leader)}
		caller.done.Add(1)
		go caller.run()
		leader.kill()
		killed := time.Now()
		number++
		for !publishOnAnyHost(caller.hosts, number) {
		}
		total += time.Since(killed)
		caller.stopped.Store(true)
		caller.done.Wait()
		sent, refused = sent+caller.sent, refused+caller.refused
		leader.start()
		waitServing(b, leader)
	}
	b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "toAccepted-ms")
	b.ReportMetric(float64(refused), "refused")
	b.ReportMetric(float64(sent), "asked")
}

// publishOnAnyHost publishes one change through the first host that accepts it and reports whether
// one did. A change that is committed but not yet in force counts as accepted.
func publishOnAnyHost(hosts []*process, number int) bool {
	for _, p := range hosts {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		change := &masticproto.Publish{RequestId: fmt.Sprintf("after-kill-%d", number), Change: profileChange(number)}
		_, err := p.client().Publish(ctx, change)
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}
