// Package masticstream decodes the server-sent events of an answer stream and checks that they
// belong to one request and are numbered without a gap. It distinguishes a complete stream from
// a truncated one. It does no I/O itself.
package masticstream
