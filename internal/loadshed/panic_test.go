package loadshed

import (
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"harepass/internal/decide/overload"
)

// panicUnderLock is the environment variable that makes the test binary panic in Admit, below a recover as in a
// server's handler.
const panicUnderLock = "HAREPASS_TEST_PANIC_UNDER_LOCK"

// A panic in Admit happens under a lock that all requests need. It ends the process, although servers recover from
// panics of their handlers.
func TestPanicUnderLockEndsProcess(t *testing.T) {
	if os.Getenv(panicUnderLock) != "" {
		defer func() { recover() }()
		(&Shedder{Clock: func() time.Duration { return 0 }}).Admit(overload.Arrival{}) // no controller
		return
	}
	process := exec.Command(os.Args[0], "-test.run=^TestPanicUnderLockEndsProcess$")
	process.Env = append(os.Environ(), panicUnderLock+"=1")
	output, err := process.CombinedOutput()
	if err == nil || !strings.Contains(string(output), "under the shedder's lock") {
		t.Errorf("the process ended with error %v, want the panic in its output:\n%s", err, output)
	}
}
