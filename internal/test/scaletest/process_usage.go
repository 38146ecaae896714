package scaletest

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// ticksPerSecond is the unit of times in /proc/stat and /proc/PID/stat.
const ticksPerSecond = 100

// Positions in /proc/PID/stat after the process's name.
const (
	statUserTicks   = 11
	statSystemTicks = 12
)

// Usage is what a process has spent since its start.
type Usage struct {
	CPU        time.Duration // user and system time of all threads
	ResidentKB int           // resident size at present
	Bytes      int64         // read and written, by sockets and files alike
}

// readUsage reads what the system says of a process. The error wraps ErrUnreadableUsage where that cannot be
// understood.
func readUsage(pid int) (u Usage, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	_, rest, found := strings.Cut(string(stat), ") ") // the name before it may contain spaces
	fields := strings.Fields(rest)
	if !found || len(fields) <= statSystemTicks {
		return u, fmt.Errorf("%w: /proc/%d/stat", ErrUnreadableUsage, pid)
	}
	var user, system int64
	if _, err := fmt.Sscan(fields[statUserTicks]+" "+fields[statSystemTicks], &user, &system); err != nil {
		return u, fmt.Errorf("%w: /proc/%d/stat: %w", ErrUnreadableUsage, pid, err)
	}
	u.CPU = time.Duration(user+system) * time.Second / ticksPerSecond
	u.ResidentKB = int(readProcField(pid, "status", "VmRSS:"))
	u.Bytes = readProcField(pid, "io", "rchar:") + readProcField(pid, "io", "wchar:")
	return u, nil
}

// readMachineBusy reads how long all processors together have been busy since the machine started. The error wraps
// ErrUnreadableUsage where what the system says cannot be understood.
func readMachineBusy() (time.Duration, error) {
	stat, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, err
	}
	var user, nice, system, idle, wait, irq, softirq int64
	_, err = fmt.Sscanf(string(stat), "cpu %d %d %d %d %d %d %d", &user, &nice, &system, &idle, &wait, &irq, &softirq)
	if err != nil {
		return 0, fmt.Errorf("%w: /proc/stat: %w", ErrUnreadableUsage, err)
	}
	return time.Duration(user+nice+system+irq+softirq) * time.Second / ticksPerSecond, nil
}

// readProcField reads a number from a file of a process; 0 where it is not there.
func readProcField(pid int, file, name string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return 0
	}
	_, rest, found := strings.Cut(string(data), name)
	if !found {
		return 0
	}
	var number int64
	fmt.Sscan(rest, &number)
	return number
}
