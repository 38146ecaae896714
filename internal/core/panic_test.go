package core

import (
	"os"
	"os/exec"
	"strings"
	"testing"
)

// panicInCoordinator is the environment variable that makes the test binary panic in the coordinator's goroutine.
const panicInCoordinator = "HAREPASS_TEST_PANIC_IN_COORDINATOR"

// A panic in the coordinator's goroutine ends the process, because the goroutine's state may be half changed and all
// queries depend on it.
func TestPanicInCoordinatorEndsProcess(t *testing.T) {
	if os.Getenv(panicInCoordinator) != "" {
		h := newHarness(t, nil)
		q, left := h.query("free", 0), make(chan struct{})
		close(left)
		q.client.closed, q.Done = left, func(Answer) { panic("in the coordinator's goroutine") }
		h.Submit(q)
		go h.Run()
		select {}
	}
	process := exec.Command(os.Args[0], "-test.run=^TestPanicInCoordinatorEndsProcess$", "-test.timeout=20s")
	process.Env = append(os.Environ(), panicInCoordinator+"=1")
	output, err := process.CombinedOutput()
	if err == nil || !strings.Contains(string(output), "panic: in the coordinator's goroutine") {
		t.Errorf("the process ended with error %v, want the panic in its output:\n%s", err, output)
	}
}
