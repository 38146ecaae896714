package faultinjection

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// reserveOnly is the environment variable that makes the test binary only reserve addresses and print them.
const reserveOnly = "HAREPASS_TEST_RESERVE_ONLY"

// Two test processes of one run reserve addresses for processes that bind them later. They must not share an IP
// address: otherwise the system could give a port that one test process has reserved and closed to the other, and the
// program's process that should bind the port would exit.
func TestProcessesReserveAddressesOfTheirOwn(t *testing.T) {
	const addresses = 30
	reserved := map[string]bool{}
	for range addresses {
		address, err := Reserve()
		if err != nil {
			t.Fatal(err)
		}
		host, _, _ := net.SplitHostPort(address)
		reserved[host] = true
		if os.Getenv(reserveOnly) != "" {
			fmt.Println("reserved", host)
		}
	}
	if os.Getenv(reserveOnly) != "" {
		return
	}
	process := exec.Command(os.Args[0], "-test.run=^TestProcessesReserveAddressesOfTheirOwn$")
	process.Env = append(os.Environ(), reserveOnly+"=1")
	output, err := process.Output()
	if err != nil {
		t.Fatal(err)
	}
	others := 0
	for line := range strings.Lines(string(output)) {
		if host, ok := strings.CutPrefix(strings.TrimSpace(line), "reserved "); ok {
			if others++; reserved[host] {
				t.Errorf("both processes have reserved %s", host)
			}
		}
	}
	if others != addresses {
		t.Errorf("the other process has reserved %d addresses, not as many as this one", others)
	}
}
