// Package masticstream is the core of answer streams, without input or output:
// it decodes server-sent events, checks that they are numbered without a gap and
// belong to one request, and tells an ended stream from one that was cut.
package masticstream
