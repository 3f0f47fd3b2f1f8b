// Package masticfake provides fake backend servers for tests and the demo, which speak real HTTP:
// a model engine with a prefix cache of limited size, and a plain service that counts how often
// each call ran. Both can simulate faults.
package masticfake
