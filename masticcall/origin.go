package masticcall

import (
	"context"
	"crypto/sha256"
	"io"
	"time"
)

// Software restricts which backend servers may run a request by the version of their software. The zero value
// allows all.
type Software struct {
	Version  string
	Required bool
	// Excluded allows servers with any other version only.
	Excluded bool
}

// OnlySoftware allows servers with the given version only.
func OnlySoftware(version string) Software { return Software{Version: version, Required: true} }

// ExceptSoftware allows servers with any other version than the given one.
func ExceptSoftware(version string) Software { return Software{Version: version, Excluded: true} }

// Allows reports whether a server with the given version may run the request.
func (s Software) Allows(version string) bool {
	return (!s.Required || s.Version == version) && !(s.Excluded && s.Version == version)
}

// StreamKey identifies a stream over all hosts and all attempts of its caller.
type StreamKey [16]byte

// StreamKeys are the keys of one stream, by the properties of its caller that a later attempt may share. Documents change
// some of them: they move API keys to other workspaces, rename workspaces, replace API keys and make routes public.
type StreamKeys []StreamKey

// MaxStreamKeys is the number of keys of a stream whose API key moved once.
const MaxStreamKeys = 3

// Marks of stream keys that have no workspace. No name begins with such a byte, which is not UTF-8.
const (
	markAPIKey = "\xff"
	markPath   = "\xfe"
)

// StreamKeyOf returns the key of the stream of a service whose first event the request with the given ID brought. The
// workspace is part of it, so that no caller can name a stream of another one.
func StreamKeyOf(workspace, service, request string) StreamKey {
	return streamKey(workspace, service, request)
}

// StreamKeyOfAPIKey is StreamKeyOf for the callers that use the API key with the given digest.
func StreamKeyOfAPIKey(digest [sha256.Size]byte, service, request string) StreamKey {
	return streamKey(markAPIKey+string(digest[:]), service, request)
}

// StreamKeyOfPath is StreamKeyOf for the callers of a path of a host that is, or was, public.
func StreamKeyOfPath(host, path, service, request string) StreamKey {
	return streamKey(markPath+host, path, service, request)
}

func streamKey(parts ...string) StreamKey {
	h := sha256.New()
	for _, part := range parts {
		// Writing to a hash does not fail.
		_, _ = io.WriteString(h, part+"\x00")
	}
	return StreamKey(h.Sum(nil)[:len(StreamKey{})])
}

// StreamOrigin is the software version that began a stream.
type StreamOrigin struct {
	Software string
	// Recorded reports that the version was recorded for this stream. Otherwise it is the base version of the
	// service.
	Recorded bool
	// Unknown reports that a stream without a record may have been begun by another version than the base version.
	Unknown bool
	// ByItself reports that this host knew it without asking the control group.
	ByItself bool
}

// Origins share between hosts which software version began a stream. The control group keeps the records,
// since all hosts that serve callers may end at the same moment.
type Origins interface {
	// Available reports whether streams can be recorded now.
	Available() bool
	// Record records under each key that a stream is begun by a version. The stream's first event may be passed on
	// once Wait of the result has returned nil. A record replaces an earlier one of the same key. It lasts until the
	// deadline of the stream's caller, whatever becomes of this host.
	Record(keys StreamKeys, software string, deadline time.Time) Recording
	// End states that the host no longer serves the stream. With forget, no caller can take it up.
	End(keys StreamKeys, forget bool)
	// Find returns the version that began a stream of a service: that of the first key with a record. Without keys, it
	// returns the version that began all streams that callers may still take up, if there is one. The error has kind
	// noQuorum if that cannot be told now.
	Find(ctx context.Context, keys StreamKeys, service string) (StreamOrigin, error)
}

// Recording is a record that may not be acknowledged yet.
type Recording interface {
	// Wait waits until the record is acknowledged. The error has kind noQuorum or overloaded, or is that of ctx.
	Wait(ctx context.Context) error
}
