// Package inputfile reads files that operators and their tools write, and waits until such a file is complete.
//
// A reading ends also if a path leads to something else than a file: only regular files are read, up to a size limit.
// Package stability decides when a file counts as complete.
//
//	read.go     one reading of a file
//	yaml.go     bound on what a YAML file makes of its size
//	writers.go  whether another process has a file open for writing
//	wait.go     looks at a file until it is complete
package inputfile

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"syscall"

	"harepass/internal/decide/stability"
)

// MaxBytes is the size limit of a file, in bytes.
const MaxBytes = 4 << 20

var (
	// ErrNotRegular means that the path leads to a directory, a FIFO or a device.
	ErrNotRegular = errors.New("not a regular file")
	// ErrTooLarge means that the file is larger than MaxBytes.
	ErrTooLarge = fmt.Errorf("larger than %d MiB", MaxBytes>>20)
)

// File is the result of one reading.
type File struct {
	Data []byte
	Look stability.Look // valid also with an error; Suspect is left to the caller
}

// Read reads a regular file of at most MaxBytes. The error is an *fs.PathError that may wrap ErrNotRegular or
// ErrTooLarge.
func Read(path string) ([]byte, error) {
	f, err := Inspect(path)
	return f.Data, err
}

// Inspect reads a file as Read does, and tells which version of it was read and whether it is being written.
func Inspect(path string) (File, error) {
	var file File
	f, err := open(path)
	if err != nil {
		file.Look.Version = errorVersion(err)
		return file, err
	}
	defer f.Close()
	file, err = inspect(f)
	if err != nil {
		err = &fs.PathError{Op: "read", Path: path, Err: err}
		file.Look.Version = errorVersion(err)
	}
	return file, err
}

// open opens a file for reading. Opening does not wait for a writer if the path leads to a FIFO.
func open(path string) (*os.File, error) {
	return os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
}

// inspect reads an open file from its beginning.
func inspect(f *os.File) (File, error) {
	before, err := f.Stat()
	if err != nil {
		return File{}, err
	}
	if !before.Mode().IsRegular() {
		return File{}, ErrNotRegular
	}
	if before.Size() > MaxBytes {
		return File{}, ErrTooLarge
	}
	data, err := io.ReadAll(io.LimitReader(f, MaxBytes+1))
	if err != nil {
		return File{}, err
	}
	if len(data) > MaxBytes {
		return File{}, ErrTooLarge
	}
	after, err := f.Stat()
	if err != nil {
		return File{}, err
	}
	look := stability.Look{Version: versionOf(before, data),
		Writing: identityOf(before) != identityOf(after) || openForWriting(f)}
	return File{Data: data, Look: look}, nil
}

// EndsLine reports whether the last line of a file's contents has its line break. Contents that are cut within a line
// do not, although those of some complete files do not either.
func EndsLine(data []byte) bool { return bytes.HasSuffix(data, []byte("\n")) }

// identity is what the file system tells of a state of a file. The change time is that of the last write even if a
// tool has set the modification time back.
type identity struct {
	device, inode         uint64
	size                  int64
	modifiedAt, changedAt syscall.Timespec
}

func identityOf(info fs.FileInfo) identity {
	id := identity{size: info.Size()}
	if s, ok := info.Sys().(*syscall.Stat_t); ok {
		id.device, id.inode, id.modifiedAt, id.changedAt = uint64(s.Dev), s.Ino, s.Mtim, s.Ctim
	}
	return id
}

// versionOf returns the version of a file. The contents are a part of it because two writes within one tick of the
// file system's clock leave the same times.
func versionOf(info fs.FileInfo, data []byte) (v stability.Version) {
	h := sha256.New()
	fmt.Fprintf(h, "%+v\n", identityOf(info))
	h.Write(data)
	h.Sum(v[:0])
	return v
}

// errorVersion returns the version of a file that cannot be read.
func errorVersion(err error) stability.Version { return sha256.Sum256([]byte(err.Error())) }
