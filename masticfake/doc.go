// Package masticfake holds small stand-ins for backend servers, over real HTTP: a model
// engine with a prefix cache in limited memory, and a plain service that counts how
// often each call ran. Both can be made to fail.
package masticfake
