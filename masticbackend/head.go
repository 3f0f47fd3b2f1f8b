package masticbackend

import (
	"errors"
	"net"
	"time"
)

const (
	// maxHeadBytes is the maximum size of the status line and header of an answer, and of a skipped body.
	maxHeadBytes = maxSkippedBytes
	// headTimeout is the time in which a head must be complete once its first byte is there. Servers
	// write a head at once; a lost segment is retransmitted after some 200 ms.
	headTimeout = 1500 * time.Millisecond
	// maxInterimAnswers is the maximum number of informational answers before an answer.
	maxInterimAnswers = 5
)

var (
	errHeadTooLarge = errors.New("the head of the answer is over its size limit")
	errManyInterim  = errors.New("too many informational answers")
)

// headReader reads from a connection. While the head of an answer is read, it bounds the bytes and the
// time.
type headReader struct {
	tcp *net.TCPConn
	// inHead reports that a head is being read, begun that its first byte was.
	inHead, begun bool
	left          int
}

// begin starts to bound a head.
func (r *headReader) begin() error {
	r.inHead, r.left = true, maxHeadBytes
	return r.clearDeadline()
}

// end removes the bounds.
func (r *headReader) end() error {
	r.inHead = false
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
	if !r.inHead {
		return r.tcp.Read(p)
	}
	if r.left == 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.tcp.Read(p[:min(len(p), r.left)])
	r.left -= n
	if n > 0 && !r.begun {
		r.begun = true
		return n, errors.Join(err, r.tcp.SetReadDeadline(time.Now().Add(headTimeout)))
	}
	return n, err
}
