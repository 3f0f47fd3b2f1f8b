// Package masticproto holds the generated messages of the log, of the files and between hosts.
package masticproto
