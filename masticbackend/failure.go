package masticbackend

import (
	"fmt"

	"masticladder/masticerror"
)

// Failure is the error of a failed exchange with a backend server.
type Failure struct {
	Err *masticerror.Error
	// Sent reports that the server may have received the request.
	Sent bool
	// ServerEnded reports that the server has probably terminated: the connection failed, an answer
	// belonged to another request, or the server answered 421 because it replaced the addressed one.
	ServerEnded bool
	// Answered reports that the server answered properly, so that it was alive.
	Answered bool
	// Paused reports that the server turned the request away and wants no further ones for a time.
	Paused bool
	// Refused reports that the server's host refused the connection.
	Refused bool
}

// Error returns the text of Err with the values of Sent and ServerEnded.
func (f *Failure) Error() string {
	return fmt.Sprintf("sent %t, ended %t: %v", f.Sent, f.ServerEnded, f.Err)
}

// Unwrap returns Err, so that errors.As finds the kind.
func (f *Failure) Unwrap() error { return f.Err }

func notSentFailure(err error, format string, args ...any) *Failure {
	return &Failure{Err: masticerror.Wrap(err, masticerror.KindBackendRefused, format, args...), ServerEnded: true, Refused: IsRefused(err)}
}

func sentFailure(err error, format string, args ...any) *Failure {
	return &Failure{Err: masticerror.Wrap(err, masticerror.KindBackendFailed, format, args...), Sent: true, ServerEnded: true}
}
