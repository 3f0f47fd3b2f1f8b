// Package masticengine sends requests to backend servers over net/http. It distinguishes
// failures before any byte of a request was sent from all other failures, verifies that each
// answer belongs to its request, and aborts calls to servers that do not answer in time. It is the
// client for the OpenAI-compatible requests of masticgate; masticbackend is the one for requests of
// any protocol in masticrelay.
package masticengine
