package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"harepass/internal/test/fake"
	"harepass/internal/test/faultinjection"
)

// asProgram is the environment variable with which the test binary runs as the program; see TestMain.
const asProgram = "HAREPASS_TEST_RUN=1"

// program is a running process of the program under test.
type program struct {
	*exec.Cmd
	log *faultinjection.Log // its standard error
}

// startProgram starts the program with environment variables and arguments, and kills it when the test ends.
func startProgram(t *testing.T, env []string, args ...string) *program {
	t.Helper()
	p := &program{Cmd: exec.Command(os.Args[0], args...), log: &faultinjection.Log{}}
	p.Env, p.Stderr = append(append(os.Environ(), asProgram), env...), p.log
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Process.Kill(); p.Wait() })
	return p
}

// logged reports whether the program's log contains a text.
func (p *program) logged(text string) bool { return strings.Contains(p.log.String(), text) }

// fileWriter returns a function that writes a file into a folder and returns the file's path.
func fileWriter(t *testing.T, dir string) func(name, text string) string {
	return func(name, text string) string {
		t.Helper()
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
}

// exampleSettings returns the contents of the example settings file.
func exampleSettings(t testing.TB) []byte {
	t.Helper()
	data, err := os.ReadFile("../../deploy/settings.example.json")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// withPolling returns the settings with lists that are polled from discovery instead of pushed.
func withPolling(settings []byte) json.RawMessage {
	return bytes.Replace(settings, []byte(`"push"`), []byte(`"ask"`), 1)
}

// withQuota returns the settings with the given quota for every tenant, in queries per second.
func withQuota(settings []byte, perSecond string) []byte {
	return regexp.MustCompile(`"quota_per_s": [0-9.]+`).ReplaceAll(settings, []byte(`"quota_per_s": `+perSecond))
}

// platformFile returns a configuration as the platform writes it. keys replaces default keys: the defaults are the
// seed, limits and settings of an ordinary process, and an empty known list.
func platformFile(t testing.TB, keys map[string]any) string {
	t.Helper()
	file := map[string]any{"name": "n1", "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"index": 0, "snapshot": true, "endpoints": []any{}},
		"settings": json.RawMessage(exampleSettings(t))}
	maps.Copy(file, keys)
	data, err := json.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// oneEndpoint returns discovery's list with a single replica, which holds every shard.
func oneEndpoint(name string, address net.Addr) string {
	return fmt.Sprintf(`{"index":1,"snapshot":true,"endpoints":[{"name":%q,"address":%q,"zone":"z","type":"m",`+
		`"group":0,"status":"in_service","weight":1,"since_ms":0}]}`, name, address)
}

// listen opens a listener on a loopback address and closes it when the test ends.
func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// ownAddress returns an address to listen on later. Each call reserves a different loopback IP address, so that no
// other process opens a port there.
func ownAddress(t *testing.T) string {
	address, err := faultinjection.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// eventually waits until ok returns true, and fails the test after the time-out of faultinjection.WaitFor.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	if err := faultinjection.WaitFor(what, ok); err != nil {
		t.Fatal(err)
	}
}

// slowAt returns a script for replicas that answer at once, except for one shard, which takes 400 ms.
func slowAt(slow int) func(shard, attempt int) fake.Reply {
	return func(shard, _ int) fake.Reply {
		if shard == slow {
			return fake.Reply{After: 400 * time.Millisecond}
		}
		return fake.Reply{}
	}
}

// queryBody returns the body of a query for shards of equal weight.
func queryBody(shards ...int) string {
	var parts []string
	for _, s := range shards {
		parts = append(parts, fmt.Sprintf(`{"slice":%d,"mass":%g}`, s, 1/float64(len(shards))))
	}
	return `{"slices":[` + strings.Join(parts, ",") + `],"filter":"f"}`
}

// query sends a query of the class route-lookup to the platform's front and returns its status, or 0 without an answer.
func query(t *testing.T, address string, shards ...int) int {
	return queryClass(t, address, "route-lookup", shards...)
}

// queryClass sends a query of a class to the platform's front and returns its status, or 0 without an answer.
func queryClass(t *testing.T, address, class string, shards ...int) int {
	status, _ := post(t, "http://"+address+"/api", queryBody(shards...), map[string]string{
		"X-Call-Id": fmt.Sprint(time.Now().UnixNano()), "X-Call-Class": class, "X-Caller": "kitakaze",
		"X-Budget": "2900m"})
	return status
}

// post sends a request with headers and returns the status and the body. The status is 0 if there is no answer.
func post(t *testing.T, url, body string, header map[string]string) (int, string) {
	t.Helper()
	req, err := http.NewRequest("POST", url, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer res.Body.Close()
	data, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(data)
}

// getStatus returns the status of a GET request, or 0 without an answer.
func getStatus(url string) int {
	res, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// isReady reports whether the front at an address reports itself ready.
func isReady(address string) bool {
	return getStatus("http://"+address+"/health/ready") == http.StatusOK
}
