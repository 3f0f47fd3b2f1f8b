package masticstore

import (
	"errors"

	"golang.org/x/sys/unix"
)

// IsNoSpace reports whether err was caused by a full disk or an exhausted quota. The stored data is not damaged: Open returns
// it once there is room.
func IsNoSpace(err error) bool {
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT)
}
