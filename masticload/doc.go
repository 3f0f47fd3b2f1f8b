// Package masticload is a load generator: it sends requests to a running system over HTTP
// at a fixed rate, checks that each answer is complete and belongs to its request, and
// reports latency quantiles. It connects to loopback addresses only.
package masticload
