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

// asProgram is the variable that makes the test binary be the program; see TestMain.
const asProgram = "HAREPASS_TEST_RUN=1"

// program is a process of the program under test.
type program struct {
	*exec.Cmd
	log *faultinjection.Log // its standard error
}

// startProgram starts the program with a sub-command's arguments and variables. It is killed when the test ends.
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

// logged reports whether the program has written a text to its log.
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

// exampleSettings is the example of the settings.
func exampleSettings(t testing.TB) []byte {
	t.Helper()
	data, err := os.ReadFile("../../deploy/settings.example.json")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// polled is settings by which lists are polled from discovery, not pushed.
func polled(settings []byte) json.RawMessage {
	return bytes.Replace(settings, []byte(`"push"`), []byte(`"ask"`), 1)
}

// withQuota is settings with another quota for every tenant, in queries a second.
func withQuota(settings []byte, perSecond string) []byte {
	return regexp.MustCompile(`"quota_per_s": [0-9.]+`).ReplaceAll(settings, []byte(`"quota_per_s": `+perSecond))
}

// platformFile is a configuration as the platform writes it, with keys that replace the usual ones. Its seed, limits
// and settings are those of an ordinary process, and it knows no endpoints.
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

// oneEndpoint is a list of discovery with one replica, which holds every shard.
func oneEndpoint(name string, address net.Addr) string {
	return fmt.Sprintf(`{"index":1,"snapshot":true,"endpoints":[{"name":%q,"address":%q,"zone":"z","type":"m",`+
		`"group":0,"status":"in_service","weight":1,"since_ms":0}]}`, name, address)
}

// listen opens a listener on a loopback address until the test ends.
func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// ownAddress is an address that somebody can listen on later: each call's is on a loopback address of its own, where
// nobody else opens a port.
func ownAddress(t *testing.T) string {
	address, err := faultinjection.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// eventually waits for a condition that only takes time.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	if err := faultinjection.WaitFor(what, ok); err != nil {
		t.Fatal(err)
	}
}

// slowAt scripts replicas that serve at once, but for one shard.
func slowAt(slow int) func(shard, attempt int) fake.Reply {
	return func(shard, _ int) fake.Reply {
		if shard == slow {
			return fake.Reply{After: 400 * time.Millisecond}
		}
		return fake.Reply{}
	}
}

// queryBody is the body of a query for shards of equal weight.
func queryBody(shards ...int) string {
	var parts []string
	for _, s := range shards {
		parts = append(parts, fmt.Sprintf(`{"slice":%d,"mass":%g}`, s, 1/float64(len(shards))))
	}
	return `{"slices":[` + strings.Join(parts, ",") + `],"filter":"f"}`
}

// query sends a query of the class route-lookup to the platform's front and returns its status, 0 for none.
func query(t *testing.T, address string, shards ...int) int {
	return queryClass(t, address, "route-lookup", shards...)
}

// queryClass sends a query of a class to the platform's front and returns its status, 0 for none.
func queryClass(t *testing.T, address, class string, shards ...int) int {
	status, _ := post(t, "http://"+address+"/api", queryBody(shards...), map[string]string{
		"X-Call-Id": fmt.Sprint(time.Now().UnixNano()), "X-Call-Class": class, "X-Caller": "kitakaze",
		"X-Budget": "2900m"})
	return status
}

// post sends a request with headers and returns the status and the body; the status is 0 where there is no answer.
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

// getStatus is the status of a GET request, 0 where there is no answer.
func getStatus(url string) int {
	res, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// isReady reports whether the front at an address says that it is ready.
func isReady(address string) bool {
	return getStatus("http://"+address+"/health/ready") == http.StatusOK
}
