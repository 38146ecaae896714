package listexchange

import (
	"errors"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"harepass/internal/core"
)

// bootIDPath is the file in which Linux names the machine's current boot.
const bootIDPath = "/proc/sys/kernel/random/boot_id"

const (
	// maxClockGap is the longest time between two readings of the coordinator's clock for which a reading of the shared
	// clock between them counts as simultaneous.
	maxClockGap = time.Millisecond
	// maxClockReadings bounds the attempts to read both clocks at once.
	maxClockReadings = 100
)

// errClockStalled is returned if the process was suspended during each attempt to read both clocks at once.
var errClockStalled = errors.New("listexchange: the process's clock and the machine's could not be read at once")

// SharedClock is a clock that all processes of a machine read alike and that no step of the wall clock moves.
type SharedClock struct {
	Now  func() (time.Duration, error) // time since the boot
	Boot string                        // identifies the boot, because clocks of two boots do not compare
}

// MachineClock returns the machine's time since its boot. The error comes from the operating system.
func MachineClock() (SharedClock, error) {
	id, err := os.ReadFile(bootIDPath)
	if err != nil {
		return SharedClock{}, err
	}
	return SharedClock{Now: sinceBoot, Boot: strings.TrimSpace(string(id))}, nil
}

func sinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// ahead returns by how much the shared clock is ahead of the coordinator's. Both are read in turn, and a process can be
// suspended in between; such a reading is repeated.
func (c SharedClock) ahead(own core.Clock) (time.Duration, error) {
	for range maxClockReadings {
		before := own()
		shared, err := c.Now()
		if err != nil {
			return 0, err
		}
		if own()-before <= maxClockGap {
			return shared - before, nil
		}
	}
	return 0, errClockStalled
}
