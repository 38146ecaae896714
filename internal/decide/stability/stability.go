// Package stability decides when a file that other programs write may be taken as complete.
//
// Nothing in a file says that it is complete: its format allows the last line without a line break, and a tool may be
// cut off at the end of any line. A file therefore counts as complete once several looks over a time have shown the
// same version of it. How long that time is depends on what else speaks against the file.
//
// # Contract
//
// A Tracker is for one file, or for one set of files that are read together, and for one goroutine at a time. It has no
// clock: instants are readings of the caller's monotonic clock. The caller looks again until Observe returns Stable.
package stability

import "time"

// Version identifies the state of a file: its place in the file system, its times and its contents. Two looks with the
// same Version saw the same contents.
type Version [32]byte

// Look is what one reading of a file showed.
type Look struct {
	Version Version
	// Writing is true if another process has the file open for writing, or wrote to it while it was read.
	Writing bool
	// Suspect is true if the contents may be the beginning of a longer file.
	Suspect bool
}

// Reason says why a file does not count as complete yet.
type Reason int

// Reasons.
const (
	Stable    Reason = iota // the file counts as complete
	Unchecked               // too few looks have shown this version
	Changed                 // the last look showed another version than the one before
	Writing                 // another process is writing the file
	Suspect                 // the contents may be the beginning of a longer file
)

// String returns the reason as the log shows it.
func (r Reason) String() string {
	return [...]string{"stable", "not checked again yet", "changed since the last look", "open for writing",
		"may be cut short"}[r]
}

// Windows are the times for which looks have to show the same version.
type Windows struct {
	Settled time.Duration // for a file that nothing speaks against
	Suspect time.Duration // for a file that may be cut short
	Writing time.Duration // for a file that another process has open for writing
}

// required returns the window for a look.
func (w Windows) required(l Look) (time.Duration, Reason) {
	switch {
	case l.Writing:
		return w.Writing, Writing
	case l.Suspect:
		return w.Suspect, Suspect
	}
	return w.Settled, Unchecked
}

// Tracker follows a file from look to look. The zero value has seen nothing.
type Tracker struct {
	seen    bool
	version Version       // of the last look
	since   time.Duration // when a look first showed this version, without another in between
}

// Observe records a look at the file at the instant now. It returns Stable if the file counts as complete, else the
// reason to look again.
func (t *Tracker) Observe(l Look, now time.Duration, w Windows) Reason {
	first := !t.seen
	if first || l.Version != t.version {
		t.seen, t.version, t.since = true, l.Version, now
		if !first {
			return Changed
		}
	}
	required, reason := w.required(l)
	if now-t.since >= required && now > t.since {
		return Stable
	}
	return reason
}
