package scaletest

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"
)

// ticksPerSecond is the unit of the times in /proc/PID/stat.
const ticksPerSecond = 100

// Usage is what a process has spent since its start.
type Usage struct {
	CPU            time.Duration // user and system
	ResidentKB     int           // resident now
	PeakResidentKB int           // resident at most
	Bytes          int64         // read and written, sockets and files alike
}

// usageOf reads what the system tells of a process.
func readUsage(pid int) (u Usage, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	_, rest, found := strings.Cut(string(stat), ") ") // the name may hold spaces
	fields := strings.Fields(rest)
	if !found || len(fields) < 13 {
		return u, errors.New("scale: unreadable /proc/PID/stat")
	}
	var user, system int64
	if _, err := fmt.Sscan(fields[11]+" "+fields[12], &user, &system); err != nil {
		return u, err
	}
	u.CPU = time.Duration(user+system) * time.Second / ticksPerSecond
	u.ResidentKB = int(readProcField(pid, "status", "VmRSS:"))
	u.PeakResidentKB = int(readProcField(pid, "status", "VmHWM:"))
	u.Bytes = readProcField(pid, "io", "rchar:") + readProcField(pid, "io", "wchar:")
	return u, nil
}

// machineBusy is the time that all processors together have been busy.
func readMachineBusy() (time.Duration, error) {
	stat, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, err
	}
	var user, nice, system, idle, wait, irq, softirq int64
	if _, err := fmt.Sscanf(string(stat), "cpu %d %d %d %d %d %d %d", &user, &nice, &system, &idle, &wait, &irq, &softirq); err != nil {
		return 0, err
	}
	return time.Duration(user+nice+system+irq+softirq) * time.Second / ticksPerSecond, nil
}

// field is a number from one of the files of a process; 0 where it is not told.
func readProcField(pid int, file, name string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return 0
	}
	_, rest, found := strings.Cut(string(data), name)
	if !found {
		return 0
	}
	var n int64
	fmt.Sscan(rest, &n)
	return n
}
