package masticcontrol_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"masticladder/masticcontrol"
)

// lineCounter counts log lines by message.
type lineCounter struct {
	mutex sync.Mutex
	lines map[string]int
}

func (l *lineCounter) Levels() []logrus.Level { return logrus.AllLevels }

func (l *lineCounter) Fire(e *logrus.Entry) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lines[e.Message]++
	return nil
}

// count returns the number of lines whose message contains part.
func (l *lineCounter) count(part string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	n := 0
	for message, times := range l.lines {
		if strings.Contains(message, part) {
			n += times
		}
	}
	return n
}

// TestFullDiskIsLoggedAtEachReopening: a full disk gave an error line twice a second, the same as for a broken one, and none when
// there was room again.
func TestFullDiskIsLoggedAtEachReopening(t *testing.T) {
	q := quicktest.New(t)
	s := newFullDiskSoak(t, 3, 1)
	s.agents = []*client{s.agent(1)}
	s.publish(s.agents[0], "first", baseChange(1))
	full := s.leaderName()
	var counters masticcontrol.Counters
	lines := &lineCounter{lines: map[string]int{}}
	log := logrus.New()
	log.SetOutput(t.Output())
	log.AddHook(lines)
	n := s.nodes[full]
	n.options = append(n.options, masticcontrol.WithLog(log), masticcontrol.WithCounters(&counters))
	s.restart(full, false)
	s.eventually("the host joins", s.hosts[full].joined)
	s.disks[full].set(func(d *disk) { d.full = true })
	for i := 0; s.hosts[full].openings.Load() < 4; i++ {
		s.publish(s.agents[0], workspaceName(i), workspaceChange(workspaceName(i)))
		time.Sleep(testPollInterval)
	}
	q.Assert(counters.StorageFull.Load(), quicktest.Equals, int64(1))
	s.disks[full].set(func(d *disk) { d.full = false })
	s.publish(s.agents[0], "last", workspaceChange("last"))
	s.eventually("the disk has room", func() bool { return counters.StorageFull.Load() == 0 })
	q.Assert(lines.count("the disk is full"), quicktest.Equals, 1)
	q.Assert(lines.count("the disk has room again"), quicktest.Equals, 1)
	q.Assert(lines.count("the store failed"), quicktest.Equals, 0)
}
