// Package masticload drives a running system over HTTP at a bounded rate, checks that
// each answer is whole and belongs to its request, and reports quantiles. It connects
// to loopback addresses only.
package masticload
