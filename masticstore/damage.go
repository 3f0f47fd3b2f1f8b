package masticstore

import "fmt"

// DamageError reports stored data that is corrupted or missing. The host must not vote with the data
// of that folder: after the caller has emptied it with Clear, the host rejoins as a learner.
type DamageError struct {
	// File is the name of the damaged file within the folder.
	File string
	// Offset is the start of the unreadable record, in bytes.
	Offset int64
	Reason string
}

// Error returns a message with the file, the offset and the reason.
func (e *DamageError) Error() string {
	return fmt.Sprintf("stored data is damaged: %s at byte %d: %s", e.File, e.Offset, e.Reason)
}
