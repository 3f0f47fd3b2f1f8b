package masticsuspect

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"masticladder/masticproto"
)

const (
	// UnnamedWindow is the time within which the ends of a server that states no incarnation count as
	// one if the reports do not say when the requests began.
	UnnamedWindow = 2 * time.Second
	// WaveWindow is the time within which failures of servers may have one cause, such as a lost rack.
	// A request is quarantined only if it ran on at least half of the servers that failed within it.
	WaveWindow = 2 * time.Second
	// LostTTL is how long a server is lost without a proof of its end. A host that is cut off from a
	// server for longer says nothing of that server's end.
	LostTTL = 30 * time.Second
	// failureTTL is how long a failed server is remembered, so that requests which reach it after its
	// failure are not blamed.
	failureTTL = 30 * time.Second
	// runningMargin allows for the time that reports of one failure take to arrive.
	runningMargin = 50 * time.Millisecond
	// maxFailedServers bounds the failed servers that are remembered.
	maxFailedServers = 1024
	// maxReportIDs bounds the reports of one failure that are remembered. Each host sends a few.
	maxReportIDs = 256
	// nameSeparator stands between the name of a server and that of its incarnation.
	nameSeparator = "\x00"
	// restartSeparator precedes the number of a restart in an incarnation's name.
	restartSeparator = "+"
)

// failedServers are the incarnations that failed a short time ago, the oldest first.
type failedServers []*masticproto.EndedServer

// latest returns the last failure of the server and incarnation named, or of a restart of it; nil if
// there is none.
func (s failedServers) latest(name string) *masticproto.EndedServer {
	for _, x := range slices.Backward(s) {
		if rest, ok := strings.CutPrefix(x.GetIncarnation(), name); ok && (rest == "" || strings.HasPrefix(rest, restartSeparator)) {
			return x
		}
	}
	return nil
}

// reportedBy returns the failure of the server and incarnation named that a report has stated before. A report is committed again
// when its answer was late or when goroutines of its host sent it at the same time, and its requests seem to have been sent later
// then, by the time that the commit took.
func (s failedServers) reportedBy(name string, id uint64) *masticproto.EndedServer {
	if id == 0 {
		return nil
	}
	for _, x := range slices.Backward(s) {
		rest, ok := strings.CutPrefix(x.GetIncarnation(), name)
		if ok && (rest == "" || strings.HasPrefix(rest, restartSeparator)) && slices.Contains(x.GetReportIds(), id) {
			return x
		}
	}
	return nil
}

// addReport records that a report states the failure.
func addReport(x *masticproto.EndedServer, id uint64) {
	if id == 0 || slices.Contains(x.GetReportIds(), id) {
		return
	}
	x.ReportIds = append(x.ReportIds, id)
	if n := len(x.GetReportIds()) - maxReportIDs; n > 0 {
		x.ReportIds = slices.Clone(x.GetReportIds()[n:])
	}
}

// running returns the failed incarnation on which request i of the report ran, nil if the request was
// sent after the server had failed and before it ended, so that it cannot be the cause. A request that
// was sent after the end ran on a restarted server, of which lists of servers do not tell yet.
func (s *failedServers) running(now time.Time, name string, r *masticproto.SuspectReport, i int) *masticproto.EndedServer {
	failedAt := now.Add(-time.Duration(r.GetFailedAgeMs()) * time.Millisecond)
	named := r.GetServerIncarnation() != ""
	x := s.latest(name)
	if reported := s.reportedBy(name, r.GetId()); reported != nil {
		return reported
	}
	switch {
	case x == nil && named:
		return s.add(name, failedAt, now, r)
	case x == nil:
		return s.add(restartName(name, now), failedAt, now, r)
	case len(r.GetAgesMs()) <= i:
		if named || now.Sub(time.UnixMilli(x.GetAtUnixMs())) < UnnamedWindow {
			return x
		}
		return s.add(restartName(name, now), failedAt, now, r)
	}
	sentAt := now.Add(-time.Duration(r.GetAgesMs()[i]) * time.Millisecond)
	switch {
	case !sentAt.After(time.UnixMilli(x.GetAtUnixMs()).Add(runningMargin)):
		return x
	case !x.GetLost() && sentAt.After(time.UnixMilli(x.GetEndedUnixMs())):
		return s.add(restartName(name, now), failedAt, now, r)
	}
	return nil
}

// splitName returns the server's name and incarnation of a name in failedServers, without the number of a
// restart.
func splitName(name string) (server, incarnation string) {
	server, incarnation, _ = strings.Cut(name, nameSeparator)
	incarnation, _, _ = strings.Cut(incarnation, restartSeparator)
	return server, incarnation
}

// displayName returns the server and incarnation of a name in failedServers for people.
func displayName(name string) string {
	return strings.TrimSpace(strings.Replace(name, nameSeparator, " ", 1))
}

func restartName(name string, now time.Time) string {
	return name + restartSeparator + strconv.FormatInt(now.UnixMilli(), 10)
}

// add adds a failure that r reports.
func (s *failedServers) add(name string, failedAt, now time.Time, r *masticproto.SuspectReport) *masticproto.EndedServer {
	x := &masticproto.EndedServer{Incarnation: name, AtUnixMs: failedAt.UnixMilli(), Lost: r.GetVerdict() == masticproto.Verdict_VERDICT_LOST}
	if !x.Lost {
		x.EndedUnixMs = now.UnixMilli()
	}
	*s = append(*s, x)
	return x
}

// lastFailure returns when a server last failed, or was known to have ended.
func (s failedServers) lastFailure() time.Time {
	var last int64
	for _, x := range s {
		last = max(last, x.GetAtUnixMs(), x.GetEndedUnixMs())
	}
	return time.UnixMilli(last)
}

func (s *failedServers) remove(x *masticproto.EndedServer) {
	*s = slices.DeleteFunc(slices.Clone(*s), func(y *masticproto.EndedServer) bool { return y == x })
}

// expire removes ended servers after failureTTL, and returns those that are lost for LostTTL.
func (s *failedServers) expire(now time.Time) []*masticproto.EndedServer {
	var lost []*masticproto.EndedServer
	*s = slices.DeleteFunc(*s, func(x *masticproto.EndedServer) bool {
		at := time.UnixMilli(x.GetAtUnixMs())
		if x.GetLost() && now.Sub(at) >= LostTTL {
			lost = append(lost, x)
		}
		return !x.GetLost() && now.Sub(at) >= failureTTL
	})
	return lost
}

// ranOnHalf reports whether a request ran on at least half of the servers that failed at the time of
// its last one. Of a harmless request, many copies may run on the servers of a rack that is lost.
func (s failedServers) ranOnHalf(r record) bool {
	var last int64
	for _, x := range s {
		if r.contains(x.GetIncarnation()) {
			last = max(last, x.GetAtUnixMs())
		}
	}
	own, all := 0, 0
	for _, x := range s {
		if d := last - x.GetAtUnixMs(); d >= WaveWindow.Milliseconds() || -d >= WaveWindow.Milliseconds() {
			continue
		}
		all++
		if r.contains(x.GetIncarnation()) {
			own++
		}
	}
	return 2*own >= all
}
