package main

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"harepass/internal/logmsg"
	"harepass/internal/test/fake"
)

// updateClaim sends a claim update to the platform's front, without an idempotency key if key is empty.
func updateClaim(t *testing.T, address, id, key string, shard int) (int, string) {
	header := map[string]string{"X-Call-Id": id, "X-Call-Class": "claim-update", "X-Caller": "kitakaze",
		"X-Budget": "3900m"}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	return post(t, "http://"+address+"/api", queryBody(shard), header)
}

// breakFirstAttempt returns a script for replicas that close the connection of a shard's first attempt after 300 ms.
func breakFirstAttempt(at int) func(shard, attempt int) fake.Reply {
	return func(shard, attempt int) fake.Reply {
		if shard == at && attempt == 0 {
			return fake.Reply{Kind: fake.Disconnect, After: 300 * time.Millisecond}
		}
		return fake.Reply{}
	}
}

// The connection of an update breaks after SIGTERM, and the update is retried: without its idempotency key, the replica
// would apply it twice. The key of an update reaches the replica with every attempt, through both fronts and to both
// kinds of replicas. The answer to an update without a key names the missing header.
func TestIdempotencyKeysReachReplicas(t *testing.T) {
	const breaking = 5
	replicas := &fake.Replicas{Script: breakFirstAttempt(breaking)}
	b := newBothFronts(t, replicas, replicas)
	b.start("  claims: {class: claim-update, reports: true}\n", func(discovery net.Listener) string {
		return b.platformFile(discovery, json.RawMessage(exampleSettings(t)))
	})
	eventually(t, "both fronts listen", func() bool {
		return strings.Count(b.log.String(), logmsg.ListenerOpened) == 2
	})
	sent := 0
	eventually(t, "both kinds of replicas receive updates", func() bool {
		sent++
		key := fmt.Sprint("k", sent)
		updateClaim(t, b.platform, "n-"+key, key, 2)
		post(t, "http://"+b.search+"/claims/_doc", `{"section":1,"pin":"x"}`, map[string]string{"Idempotency-Key": key})
		framed, api := protocolsSeen(replicas)
		return framed && api && sent > 20
	})
	for _, url := range []string{"http://" + b.search + "/claims/_doc", "http://" + b.search + "/claims/_create/c7"} {
		status, body := post(t, url, `{"section":1,"pin":"x"}`, nil)
		if status != 400 || !strings.Contains(body, "Idempotency-Key") {
			t.Errorf("%s without a key: status %d, answer %s", url, status, body)
		}
	}
	status, body := updateClaim(t, b.platform, "bare", "", 2)
	if status != 400 || !strings.Contains(body, "Idempotency-Key") {
		t.Errorf("update without a key: status %d, answer %s", status, body)
	}
	for _, line := range replicas.Received() {
		if !strings.Contains(line, ",k=k") && !strings.Contains(line, " key=k") {
			t.Errorf("a replica received %q without the idempotency key", line)
		}
	}
	breakUnderDrain(t, b, breaking)
}

// protocolsSeen reports whether replicas have received frames, and whether they have received OpenSearch API requests.
func protocolsSeen(replicas *fake.Replicas) (framed, api bool) {
	for _, line := range replicas.Received() {
		isAPI := strings.HasPrefix(line, "PUT ")
		framed, api = framed || !isAPI, api || isAPI
	}
	return framed, api
}

// breakUnderDrain sends SIGTERM to the process while an update is open whose first attempt loses its connection. It
// checks that the update is served by two attempts that both carry its key.
func breakUnderDrain(t *testing.T, b *bothFronts, breaking int) {
	before := len(b.frames.Received())
	done := make(chan int)
	go func() {
		status, _ := updateClaim(t, b.platform, "last", "the-last-key", breaking)
		done <- status
	}()
	eventually(t, "an update is open", func() bool { return len(b.frames.Received()) > before })
	b.Process.Signal(syscall.SIGTERM)
	if status := <-done; status != 200 {
		t.Errorf("update that was open at SIGTERM: status %d, want 200", status)
	}
	last := b.frames.Received()[before:]
	if len(last) != 2 {
		t.Errorf("the last update was received as %q, want two attempts", last)
	}
	for _, line := range last {
		if !strings.Contains(line, ",k=the-last-key ") && !strings.HasSuffix(line, " key=the-last-key") {
			t.Errorf("an attempt of the last update was received as %q, without its key", line)
		}
	}
	if err := b.Wait(); err != nil {
		t.Errorf("exit after SIGTERM: %v\n%s", err, b.log)
	}
}
