package masticstore

import "fmt"

// DamageError reports stored data that cannot be trusted. A host that meets it must
// not vote from the folder: its owner calls Renew and the host rejoins as a learner.
type DamageError struct {
	// File is the name within the folder.
	File string
	// Offset is where the unreadable record begins, in bytes.
	Offset int64
	Reason string
}

// Error names the file and the offset.
func (e *DamageError) Error() string {
	return fmt.Sprintf("stored data is damaged: %s at byte %d: %s", e.File, e.Offset, e.Reason)
}
