package masticcontrol

import (
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"

	"masticladder/masticproto"
	"masticladder/masticview"
)

const (
	// baseSoftwareInterval is the time between two checks of the base versions of services.
	baseSoftwareInterval = 500 * time.Millisecond
	// minBaseSoftwareRetention is the least time without a server of the base version after which another
	// version becomes the base.
	minBaseSoftwareRetention = 10 * time.Second
	// takeUpTimeouts is the number of timeouts of a route within which its callers take up a stream.
	takeUpTimeouts = 2
)

// baseSoftware decides when services get another base version. Streams of the base version have no record, so
// it is replaced only once all of them have ended: when it has had no server for as long as callers may take
// up a stream.
type baseSoftware struct {
	nextCheck time.Time
	// goneSince is when each service was first seen without a server of its base version.
	goneSince map[string]time.Time
}

// due returns the services that get another base version, with that version.
func (b *baseSoftware) due(now time.Time, v masticview.View, takeUpTime time.Duration) map[string]string {
	if now.Before(b.nextCheck) {
		return nil
	}
	b.nextCheck = now.Add(baseSoftwareInterval)
	retention := max(minBaseSoftwareRetention, takeUpTimeouts*takeUpTime)
	out := map[string]string{}
	versions := v.SoftwareVersions()
	for service := range b.goneSince {
		if _, served := versions[service]; !served {
			delete(b.goneSince, service)
		}
	}
	for service, servers := range versions {
		base, ok := v.BaseSoftware(service)
		if !ok || servers[base] > 0 {
			delete(b.goneSince, service)
			continue
		}
		since, gone := b.goneSince[service]
		if !gone {
			since = now
			b.goneSince[service] = now
		}
		if now.Sub(since) >= retention {
			out[service] = masticview.MostUsedSoftware(servers)
		}
	}
	return out
}

// proposeBaseSoftware proposes the base versions that are due.
func (d *leaderState) proposeBaseSoftware(now time.Time) {
	due := d.baseSoftware.due(now, d.loop.state.View(), d.loop.state.TakeUpTime())
	if len(due) == 0 {
		return
	}
	change := &masticproto.ViewChange{}
	for _, service := range slices.Sorted(maps.Keys(due)) {
		old, _ := d.loop.state.View().BaseSoftware(service)
		change.BaseSoftware = append(change.BaseSoftware, &masticproto.BaseSoftware{Service: service, Version: due[service]})
		d.loop.log.WithField("service", service).WithField("software", due[service]).WithField("former", old).
			WithField("goneMillis", now.Sub(d.baseSoftware.goneSince[service]).Milliseconds()).Info("base version of a service replaced")
	}
	_, _, err := d.loop.propose(now, &masticproto.Command{Kind: &masticproto.Command_Publish{Publish: &masticproto.Publish{
		RequestId: uuid.Must(uuid.NewV7()).String(), Change: change,
	}}})
	if err != nil {
		d.loop.log.WithError(err).Warn("base versions not proposed; the next check does it again")
	}
}
