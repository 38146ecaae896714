package scaletest

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// ticksPerSecond is the number of clock ticks per second in /proc/stat and /proc/PID/stat.
const ticksPerSecond = 100

// Indexes of fields in /proc/PID/stat. Index 0 is the field after the process's name.
const (
	statUserTicks   = 11
	statSystemTicks = 12
)

// Usage is the resource usage of a process since its start.
type Usage struct {
	CPU        time.Duration // user and system time of all threads
	ResidentKB int           // current resident size
	Bytes      int64         // passed to read and write calls, on sockets and files together
}

// readUsage reads a process's resource usage from /proc. The error wraps ErrUnreadableUsage if its stat file has an
// unknown format.
func readUsage(pid int) (u Usage, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	_, rest, found := strings.Cut(string(stat), ") ") // the name in parentheses before it may contain spaces
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

// readMachineBusy returns the total busy time of all processors since the machine started: user (which includes guest),
// nice, system and interrupt time, without idle, I/O wait and steal time. The error wraps ErrUnreadableUsage if
// /proc/stat has an unknown format.
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

// readProcField reads the number after a field's name in a /proc file of a process. It returns 0 if the file, the field
// or its number is missing.
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
