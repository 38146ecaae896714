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

// updateClaim sends a claim update to the platform's front, without an idempotency key where key is empty.
func updateClaim(t *testing.T, address, id, key string, shard int) (int, string) {
	header := map[string]string{"X-Call-Id": id, "X-Call-Class": "claim-update", "X-Caller": "kitakaze",
		"X-Budget": "3900m"}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	return post(t, "http://"+address+"/api", queryBody(shard), header)
}

// breakFirstAttempt scripts replicas that break the connection of a shard's first attempt, after a while.
func breakFirstAttempt(at int) func(shard, attempt int) fake.Reply {
	return func(shard, attempt int) fake.Reply {
		if shard == at && attempt == 0 {
			return fake.Reply{Kind: fake.Disconnect, After: 300 * time.Millisecond}
		}
		return fake.Reply{}
	}
}

// A connection breaks under an update after SIGTERM, and the update is sent again: without its key the replica would
// apply it twice. The key of an update reaches its replica with every attempt, through both fronts and to both kinds
// of replicas, and the answer to an update without one says what is missing.
func TestIdempotencyKeysReachReplicas(t *testing.T) {
	const breaking = 5
	replicas := &fake.Replicas{Script: breakFirstAttempt(breaking)}
	b := newBothFronts(t, replicas, replicas)
	b.start("  claims: {class: claim-update, reports: true}\n", func(discovery net.Listener) string {
		return b.platformFile(discovery, json.RawMessage(exampleSettings(t)))
	})
	eventually(t, "serving", func() bool { return b.logged(logmsg.ListenerOpened) })
	sent := 0
	eventually(t, "both kinds of replicas are asked", func() bool {
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
			t.Errorf("%s without a key: %d %s", url, status, body)
		}
	}
	status, body := updateClaim(t, b.platform, "bare", "", 2)
	if status != 400 || !strings.Contains(body, "Idempotency-Key") {
		t.Errorf("an update without a key: %d %s", status, body)
	}
	for _, line := range replicas.Received() {
		if !strings.Contains(line, ",k=k") && !strings.Contains(line, " key=k") {
			t.Errorf("a replica was asked %q", line)
		}
	}
	breakUnderDrain(t, b, breaking)
}

// protocolsSeen reports whether replicas have been sent frames, and requests of the OpenSearch API.
func protocolsSeen(replicas *fake.Replicas) (framed, api bool) {
	for _, line := range replicas.Received() {
		isAPI := strings.HasPrefix(line, "PUT ")
		framed, api = framed || !isAPI, api || isAPI
	}
	return framed, api
}

// breakUnderDrain ends the process while an update is under way whose first attempt loses its connection, and checks
// that the update is served by two attempts with its key.
func breakUnderDrain(t *testing.T, b *bothFronts, breaking int) {
	before := len(b.frames.Received())
	done := make(chan int)
	go func() {
		status, _ := updateClaim(t, b.platform, "last", "the-last-key", breaking)
		done <- status
	}()
	eventually(t, "an update under way", func() bool { return len(b.frames.Received()) > before })
	b.Process.Signal(syscall.SIGTERM)
	if status := <-done; status != 200 {
		t.Errorf("under way at SIGTERM: %d", status)
	}
	last := b.frames.Received()[before:]
	if len(last) != 2 {
		t.Errorf("the last update came as %q, want two attempts", last)
	}
	for _, line := range last {
		if !strings.Contains(line, ",k=the-last-key ") && !strings.HasSuffix(line, " key=the-last-key") {
			t.Errorf("an attempt of the last update came as %q", line)
		}
	}
	if err := b.Wait(); err != nil {
		t.Errorf("exit: %v\n%s", err, b.log)
	}
}
