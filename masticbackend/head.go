package masticbackend

import (
	"errors"
	"fmt"
	"net"
	"time"

	"masticladder/masticbody"
)

const (
	// maxHeadBytes and maxHeadLines bound the status lines and headers of an answer and of all answers before it.
	maxHeadBytes = 64 << 10
	maxHeadLines = 256
	// uncountedHeadBytes is the size up to which a head is not counted against the budget: that of the connection's
	// read buffer. headMemoryFactor is the memory that a larger one takes, in its size.
	uncountedHeadBytes = readBufferBytes
	headMemoryFactor   = 3
	// headTimeout is the time in which a head must be complete once its first byte is there. Servers
	// write a head at once; a lost segment is retransmitted after some 200 ms.
	headTimeout = 1500 * time.Millisecond
	// maxErrorBytes is the maximum size of the text of an error.
	maxErrorBytes = 200
	// maxInterimAnswers is the maximum number of informational answers before an answer.
	maxInterimAnswers = 5
)

var (
	errHeadTooLarge = errors.New("the head of the answer is over its size limit")
	errHeadLines    = errors.New("the head of the answer has too many lines")
	errHeadMemory   = errors.New("the heads of all answers exceed the limit of the host")
	errManyInterim  = errors.New("too many informational answers")
)

// headReader reads from a connection. While the head of an answer is read, it bounds the bytes, the lines and the
// time, and counts the bytes against a budget until release.
type headReader struct {
	tcp    *net.TCPConn
	memory *masticbody.Reservation
	// limited reports that the bytes are bounded, begun that the first one of a head or body was read.
	limited, begun bool
	// inLines reports that lines are counted, emptyLine that the current line is empty.
	inLines, emptyLine bool
	left, bytes, lines int
	// failed is the bound that the head exceeded, which parsers do not always return.
	failed error
}

// start prepares for the answer to the next request.
func (r *headReader) start() { r.bytes, r.lines, r.failed = 0, 0, nil }

// begin starts to bound a head.
func (r *headReader) begin() error {
	r.limited, r.left = true, maxHeadBytes-r.bytes
	r.inLines, r.emptyLine = true, true
	return r.clearDeadline()
}

// beginSkipped starts to bound a body that is skipped.
func (r *headReader) beginSkipped() error {
	r.limited, r.inLines, r.left = true, false, maxSkippedBytes
	return r.clearDeadline()
}

// end removes the bounds.
func (r *headReader) end() error {
	r.limited, r.inLines = false, false
	return r.clearDeadline()
}

func (r *headReader) clearDeadline() error {
	if !r.begun {
		return nil
	}
	r.begun = false
	return r.tcp.SetReadDeadline(time.Time{})
}

// Read reads from the connection.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.tcp.Read(p)
	}
	if r.left <= 0 {
		r.failed = errHeadTooLarge
		return 0, r.failed
	}
	n, err := r.tcp.Read(p[:min(len(p), r.left)])
	r.left -= n
	if n == 0 {
		return n, err
	}
	if r.inLines {
		if r.failed = r.countHead(p[:n]); r.failed != nil {
			return n, r.failed
		}
	}
	if !r.begun {
		r.begun = true
		return n, errors.Join(err, r.tcp.SetReadDeadline(time.Now().Add(headTimeout)))
	}
	return n, err
}

// errorOf returns the bound that a head exceeded, or err, the error of its parser, with a short text: parsers quote what
// they read.
func (r *headReader) errorOf(err error) error {
	switch {
	case r.failed != nil:
		return r.failed
	case len(err.Error()) > maxErrorBytes:
		return fmt.Errorf("%.*q", maxErrorBytes, err.Error())
	}
	return err
}

// countHead counts the bytes of a head, and its lines up to the empty one that ends it.
func (r *headReader) countHead(p []byte) error {
	r.bytes += len(p)
	if r.bytes > uncountedHeadBytes && !r.memory.Resize(int64(headMemoryFactor*(r.bytes-uncountedHeadBytes))) {
		return errHeadMemory
	}
	for _, b := range p {
		switch {
		case b == '\n' && r.emptyLine && r.lines > 0:
			r.inLines = false
			return nil
		case b == '\n':
			r.lines++
			r.emptyLine = true
		case b != '\r':
			r.emptyLine = false
		}
		if r.lines > maxHeadLines {
			return errHeadLines
		}
	}
	return nil
}
