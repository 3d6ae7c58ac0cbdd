package spool

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// File is an open file in a spool's folder.
type File interface {
	io.Writer // appends
	io.ReaderAt
	Sync() error
	Truncate(size int64) error
	Close() error
}

// FS is the folder that holds a spool's files. File names contain no slash.
type FS interface {
	Names() ([]string, error)
	Create(name string) (File, error)      // fails if the file exists
	Open(name string) (File, int64, error) // the file and its size in bytes
	Remove(name string) error
	Rename(from, to string) error
	Sync() error // makes the folder's entries durable
	// Lock reserves the folder for this process until unlock is called; it fails with ErrLocked if another holds it.
	Lock() (unlock func(), err error)
}

// ErrLocked is returned for a folder that another process has open.
var ErrLocked = errors.New("another process uses this folder")

// Dir is a folder of the operating system's file system, by its path.
type Dir string

// Names implements FS.
func (d Dir) Names() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// Create implements FS.
func (d Dir) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(string(d), name), os.O_RDWR|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o600)
}

// Open implements FS.
func (d Dir) Open(name string) (File, int64, error) {
	f, err := os.OpenFile(filepath.Join(string(d), name), os.O_RDWR|os.O_APPEND, 0)
	if err != nil {
		return nil, 0, err
	}
	info, err := f.Stat()
	if err != nil {
		_ = f.Close()
		return nil, 0, err
	}
	return f, info.Size(), nil
}

// Remove implements FS.
func (d Dir) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

// Rename implements FS.
func (d Dir) Rename(from, to string) error {
	return os.Rename(filepath.Join(string(d), from), filepath.Join(string(d), to))
}

// Sync implements FS.
func (d Dir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}

// Lock implements FS and creates the folder if it is missing. The lock ends with the process, however that ends.
func (d Dir) Lock() (func(), error) {
	if err := os.MkdirAll(string(d), 0o700); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(string(d), "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, fmt.Errorf("lock: %w", err)
	}
	return func() { _ = f.Close() }, nil
}
