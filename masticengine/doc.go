// Package masticengine sends requests to backend servers over net/http. It tells
// apart failures before any byte was sent from all others, binds each answer to its
// request, and leaves servers that do not answer within a bound.
package masticengine
