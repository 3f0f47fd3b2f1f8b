package masticorigin

import (
	"time"

	"masticladder/masticcall"
	"masticladder/masticproto"
)

// always is a time before all streams.
const always = -1

// versions knows since when streams without a record were begun by the base version of their service. All times are in milliseconds of
// the clock of the records.
type versions struct {
	services map[string]serviceVersions
	// longestMs is the longest time for which the document in force lets callers take up a stream. formerLongestMs is that of earlier
	// documents, whose streams have all ended at formerUntilMs.
	longestMs, formerLongestMs, formerUntilMs int64
}

// serviceVersions is which software versions of a service have servers, by the view.
type serviceVersions struct {
	base string
	// served reports that the base version has servers, or that no version has: hosts that cannot reach the control group begin streams
	// at another version only if the base version has none.
	served        bool
	servedSinceMs int64
	// sole reports that no other version than the base version has servers.
	sole        bool
	soleSinceMs int64
}

// ObserveServers states the base version of a service and the number of servers of each of its versions.
func (r *Records) ObserveServers(service, base string, servers map[string]int) {
	if len(servers) == 0 {
		return
	}
	served, sole := servers[base] > 0, servers[base] > 0 && len(servers) == 1
	x, known := r.versions.services[service]
	switch {
	case !known:
		x = serviceVersions{base: base, served: served, servedSinceMs: always, sole: sole, soleSinceMs: always}
	case x.base != base:
		x = serviceVersions{base: base, served: served, servedSinceMs: r.nowMs(), sole: sole, soleSinceMs: r.nowMs()}
	default:
		if served && !x.served {
			x.servedSinceMs = r.nowMs()
		}
		if sole && !x.sole {
			x.soleSinceMs = r.nowMs()
		}
		x.served, x.sole = served, sole
	}
	r.versions.services[service] = x
}

// ObserveTakeUpTime states the longest time for which the document in force lets callers take up a stream.
func (r *Records) ObserveTakeUpTime(longest time.Duration) {
	v, now := &r.versions, r.nowMs()
	ms := longest.Milliseconds()
	if ms < v.longestMs {
		former := v.longestMs
		if now < v.formerUntilMs {
			former = max(former, v.formerLongestMs)
		}
		v.formerLongestMs, v.formerUntilMs = former, max(v.formerUntilMs, now+v.longestMs+1)
	}
	v.longestMs = ms
}

// TakeUpTime returns the longest time for which a stream that has begun by now may be taken up.
func (r *Records) TakeUpTime() time.Duration { return time.Duration(r.takeUpMs()) * time.Millisecond }

func (r *Records) takeUpMs() int64 {
	if v := r.versions; r.nowMs() < v.formerUntilMs {
		return max(v.longestMs, v.formerLongestMs)
	}
	return r.versions.longestMs
}

// Origin answers a question: the recorded version of the stream, or else the base version of its service. It is unknown if another
// version may have begun a stream without a record that callers may still take up.
func (r *Records) Origin(asked *masticproto.AskedStream, base string) masticcall.StreamOrigin {
	x, known := r.versions.services[asked.GetService()]
	if len(asked.GetKey()) == 0 {
		return masticcall.StreamOrigin{Software: base, Unknown: !known || !x.sole || !r.haveEnded(x.soleSinceMs)}
	}
	if len(asked.GetKey()) == len(masticcall.StreamKey{}) {
		if software, ok := r.Find(masticcall.StreamKey(asked.GetKey())); ok {
			return masticcall.StreamOrigin{Software: software, Recorded: true}
		}
	}
	return masticcall.StreamOrigin{Software: base, Unknown: known && !(x.served && r.haveEnded(x.servedSinceMs))}
}

// haveEnded reports whether all streams that began before a time can be taken up no more.
func (r *Records) haveEnded(sinceMs int64) bool {
	return sinceMs == always || r.nowMs()-sinceMs > r.takeUpMs()
}
