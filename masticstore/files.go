package masticstore

import (
	"io"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// FileSystem accesses the files of one folder.
type FileSystem interface {
	// Lock takes the exclusive lock called name, which is held until the result is closed.
	Lock(name string) (io.Closer, error)
	// List returns the names of all files.
	List() ([]string, error)
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// Create creates an empty file and opens it for appending.
	Create(name string) (File, error)
	// Append truncates a file to size bytes and opens it for appending.
	Append(name string, size int64) (File, error)
	// Replace replaces the content of a file atomically and durably.
	Replace(name string, content []byte) error
	// Remove removes a file.
	Remove(name string) error
	// Sync makes the creation and removal of files durable.
	Sync() error
}

// File is a file that is open for appending.
type File interface {
	io.WriteCloser
	// Sync makes written data durable.
	Sync() error
}

// osFiles implements FileSystem on a folder of the operating system.
type osFiles struct {
	folder string
}

func newOSFiles(folder string) (*osFiles, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, eris.Wrap(err, "create the data folder")
	}
	if err := syncFolder(filepath.Dir(filepath.Clean(folder))); err != nil {
		return nil, err
	}
	return &osFiles{folder: folder}, nil
}

func (f *osFiles) path(name string) string { return filepath.Join(f.folder, name) }

func (f *osFiles) Lock(name string) (io.Closer, error) {
	file, err := os.OpenFile(f.path(name), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, eris.Wrap(err, "open the lock file")
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, eris.Wrapf(err, "the data folder %s is in use", f.folder)
	}
	return file, nil
}

func (f *osFiles) List() ([]string, error) {
	entries, err := os.ReadDir(f.folder)
	if err != nil {
		return nil, eris.Wrap(err, "list the data folder")
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

func (f *osFiles) Read(name string) ([]byte, error) {
	b, err := os.ReadFile(f.path(name))
	return b, eris.Wrap(err, "read a stored file")
}

func (f *osFiles) Create(name string) (File, error) {
	file, err := os.OpenFile(f.path(name), os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, eris.Wrap(err, "create a log segment")
	}
	return file, nil
}

func (f *osFiles) Append(name string, size int64) (File, error) {
	file, err := os.OpenFile(f.path(name), os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, eris.Wrap(err, "open a log segment")
	}
	if err := truncateTo(file, size); err != nil {
		_ = file.Close()
		return nil, eris.Wrap(err, "truncate a log segment")
	}
	return file, nil
}

// truncateTo leaves a file of the right size alone, since a full disk may refuse the call.
func truncateTo(file *os.File, size int64) error {
	info, err := file.Stat()
	if err != nil || info.Size() == size {
		return err
	}
	return file.Truncate(size)
}

func (f *osFiles) Replace(name string, content []byte) error {
	file, err := renameio.NewPendingFile(f.path(name),
		renameio.WithTempDir(f.folder), renameio.WithStaticPermissions(fileMode))
	if err != nil {
		return eris.Wrap(err, "create a temporary file")
	}
	if _, err := file.Write(content); err != nil {
		_ = file.Cleanup()
		return eris.Wrap(err, "write a temporary file")
	}
	if err := file.CloseAtomicallyReplace(); err != nil {
		_ = file.Cleanup()
		return eris.Wrap(err, "replace a stored file")
	}
	return f.Sync()
}

func (f *osFiles) Remove(name string) error {
	return eris.Wrap(os.Remove(f.path(name)), "remove a stored file")
}

func (f *osFiles) Sync() error { return syncFolder(f.folder) }

func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "open a folder for sync")
	}
	defer d.Close()
	return eris.Wrap(d.Sync(), "sync a folder")
}
