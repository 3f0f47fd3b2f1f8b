package masticbackend

import (
	"fmt"

	"masticladder/masticerror"
)

// Failure is why an exchange with a backend server failed.
type Failure struct {
	Err *masticerror.Error
	// Sent reports that the server may have received the request.
	Sent bool
	// Ended reports that the connection broke as if the server had ended.
	Ended bool
}

// Error returns the cause.
func (f *Failure) Error() string { return fmt.Sprintf("sent %t, ended %t: %v", f.Sent, f.Ended, f.Err) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

func notSent(err error, format string, args ...any) *Failure {
	return &Failure{Err: masticerror.Wrap(err, masticerror.KindBackendRefused, format, args...), Ended: true}
}

func sent(err error, format string, args ...any) *Failure {
	return &Failure{Err: masticerror.Wrap(err, masticerror.KindBackendFailed, format, args...), Sent: true, Ended: true}
}
