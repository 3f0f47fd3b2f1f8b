package masticcrowd

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// steadyTime is how long the memory of a process has to stay the same, steadyTimeout how long that is waited for.
	steadyTime    = 400 * time.Millisecond
	steadyTimeout = 5 * time.Second
	sampleTime    = 40 * time.Millisecond
	bytesPerKB    = 1 << 10
)

// Process is a process whose resources are measured.
type Process int

// Usage is what a process uses.
type Usage struct {
	// PeakBytes is the largest resident memory since ResetPeak.
	PeakBytes int64
	// Descriptors is the number of open file descriptors.
	Descriptors int
}

// String returns the memory in MB and the number of descriptors.
func (u Usage) String() string {
	return fmt.Sprintf("%d MB, %d descriptors", u.PeakBytes>>20, u.Descriptors)
}

// ResetPeak makes the peak of the memory that of this moment.
func (p Process) ResetPeak() error {
	return os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", p), []byte("5"), 0)
}

// Steady waits until the memory of the process changes no more, for some seconds at most, and returns its usage.
func (p Process) Steady() (Usage, error) {
	last, since := int64(-1), time.Now()
	for end := time.Now().Add(steadyTimeout); time.Now().Before(end) && time.Since(since) < steadyTime; time.Sleep(sampleTime) {
		now, err := p.status("VmRSS:")
		if err != nil {
			return Usage{}, err
		}
		if now != last {
			last, since = now, time.Now()
		}
	}
	return p.Usage()
}

// Usage returns what the process uses now. It fails if the process has ended.
func (p Process) Usage() (Usage, error) {
	peak, err := p.status("VmHWM:")
	if err != nil {
		return Usage{}, err
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p))
	return Usage{PeakBytes: peak, Descriptors: len(files)}, err
}

// status returns a field of the status of the process in bytes.
func (p Process) status(field string) (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p))
	if err != nil {
		return 0, err
	}
	for lines := bufio.NewScanner(bytes.NewReader(b)); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), field); ok {
			n, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(rest, "kB")), 10, 64)
			return n * bytesPerKB, err
		}
	}
	return 0, fmt.Errorf("process %d has ended", p)
}
