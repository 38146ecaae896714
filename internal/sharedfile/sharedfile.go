// Package sharedfile writes files that the processes of a coordinator share, and tells when another process has written
// one. Each file has one writer. Readers see each version of it whole or not at all.
package sharedfile

import (
	"io/fs"
	"os"
)

// WritingSuffix is appended to the name of a file while it is written.
const WritingSuffix = ".new"

// Write replaces a file whole or not at all.
//
// If a process were killed while it overwrites a file, the file would be incomplete. So Write creates a partial file
// beside the old one and renames it over that. It does not sync the file, because the folder does not outlive the
// machine: only other processes read it, and they see a rename completely or not at all.
func Write(path string, data []byte) error {
	partial := path + WritingSuffix
	if err := os.WriteFile(partial, data, 0o600); err != nil {
		os.Remove(partial) // a full disk leaves an incomplete file
		return err
	}
	return os.Rename(partial, path)
}

// Unchanged reports whether a file is the version that was read last; last is nil if none has been read.
func Unchanged(last, now fs.FileInfo) bool {
	return last != nil && os.SameFile(last, now) && last.ModTime().Equal(now.ModTime()) && last.Size() == now.Size()
}
