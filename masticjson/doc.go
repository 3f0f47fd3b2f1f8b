// Package masticjson parses JSON objects without copying their values. It finds the raw members
// of an object in one pass, and encodes modified objects from raw members.
package masticjson
