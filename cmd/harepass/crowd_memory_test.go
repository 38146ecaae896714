package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"harepass/internal/test/fake"
)

const (
	// crowdSize is the number of clients that are connected at once.
	crowdSize = 600
	// crowdTime is how long the crowd stays.
	crowdTime = 6 * time.Second
	// crowdPause is the time between two connections of one client of the crowd, and between its requests. It is long,
	// because the crowd must not ask for more than a core can serve: that would be overload.
	crowdPause = time.Second
	// largestHead and largestBody are what the platform's front takes, in bytes.
	largestHead, largestBody = 16 << 10, 64 << 10
)

// queryHead returns the head of a query without the empty line that ends it.
func queryHead(id, class string, bodyLength int) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\n"+
		"X-Caller: kitakaze\r\nX-Budget: 2900m\r\nContent-Length: %d\r\n", id, class, bodyLength)
}

// shortField is the size of each of the fields that shortFields returns, in bytes.
const shortField = len("aaa:\r\n")

// allShortFields are as many short fields as fit into a head. They are built once, as manyClausesText.
var allShortFields = sync.OnceValue(func() string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := 0; b.Len() <= largestHead-shortField; i++ {
		fmt.Fprintf(&b, "%c%c%c:\r\n", letters[i/26/26%26], letters[i/26%26], letters[i%26])
	}
	return b.String()
})

// shortFields returns header fields with short names, all different, of at most the given size in bytes.
func shortFields(size int) string { return allShortFields()[:size/shortField*shortField] }

// crowdClient is what each client of a crowd does with a new connection, until the given time at the latest. The id is
// one that no other connection has.
type crowdClient func(c net.Conn, id string, until time.Time)

// stay keeps a connection open until the process closes it.
func stay(c net.Conn, until time.Time) {
	c.SetReadDeadline(until)
	io.Copy(io.Discard, c)
}

// sendHalfABody stops half way through a large request.
func sendHalfABody(c net.Conn, id string, until time.Time) {
	io.WriteString(c, queryHead(id, "route-lookup", largestBody)+"\r\n"+strings.Repeat("a", largestBody*3/4))
	stay(c, until)
}

// sendSlowly writes a large request in small pieces.
func sendSlowly(c net.Conn, id string, until time.Time) {
	text := queryHead(id, "route-lookup", largestBody) + "\r\n" + strings.Repeat("a", largestBody)
	for piece := 1 << 10; len(text) >= piece && time.Now().Before(until); text = text[piece:] {
		if _, err := io.WriteString(c, text[:piece]); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	stay(c, until)
}

// sendManySlices sends as many slices as fit into a body.
func sendManySlices(c net.Conn, id string, until time.Time) {
	body := `{"slices":[{}` + strings.Repeat(",{}", largestBody/len(",{}")-10) + `]}`
	io.WriteString(c, queryHead(id, "route-lookup", len(body))+"\r\n"+body)
	stay(c, until)
}

// sendShortFields sends one request after the other whose head has very many short fields, and stops before the end of
// each body for a while.
func sendShortFields(c net.Conn, id string, until time.Time) {
	go stay(c, until)
	body := queryBody(0)
	for i := 0; time.Now().Before(until); i++ {
		head := queryHead(fmt.Sprint(id, "-", i), "route-lookup", len(body))
		_, err := io.WriteString(c, head+shortFields(largestHead-len(head)-4)+"\r\n")
		time.Sleep(crowdPause)
		if err == nil {
			_, err = io.WriteString(c, body)
		}
		if err != nil {
			return
		}
	}
}

// pipelineRepeatedFields sends requests whose head has a field that the process uses, as often as fits, behind one that
// is in work, as many as may wait.
func pipelineRepeatedFields(c net.Conn, id string, until time.Time) {
	body := queryBody(0)
	io.WriteString(c, queryHead(id, "route-lookup", len(body))+"\r\n"+body)
	for i := range 15 {
		head := queryHead(fmt.Sprint(id, "-", i), "route-lookup", len(body))
		io.WriteString(c, head+strings.Repeat("X-Again:\r\n", (largestHead-len(head)-4)/len("X-Again:\r\n"))+"\r\n"+body)
	}
	stay(c, until)
}

// playCrowd has clients use one connection after the other for crowdTime.
func playCrowd(address string, client crowdClient) {
	until := time.Now().Add(crowdTime)
	var clients sync.WaitGroup
	for i := range crowdSize {
		clients.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
					c.SetWriteDeadline(until)
					client(c, fmt.Sprint("crowd-", i, "-", n), until)
					c.Close()
				}
				time.Sleep(crowdPause)
			}
		})
	}
	clients.Wait()
}

// others sends queries of an ordinary client, each on a connection of its own, until done is closed. It returns how
// often each status came, 0 for no answer within the query's time, and the longest time to an answer.
func others(address string, done <-chan struct{}) (statuses map[int]int, slowest time.Duration) {
	statuses = map[int]int{}
	for i := 0; ; i++ {
		select {
		case <-done:
			return statuses, slowest
		case <-time.After(10 * time.Millisecond):
		}
		began := time.Now()
		statuses[queryOnNewConn(address, fmt.Sprint("other-", i))]++
		slowest = max(slowest, time.Since(began))
	}
}

// queryOnNewConn sends a query on a connection of its own, and returns the status, or 0 without an answer in time.
func queryOnNewConn(address, id string) int {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	body := queryBody(0, 1)
	io.WriteString(c, queryHead(id, "route-lookup", len(body))+"\r\n"+body)
	client := rawClient{c, bufio.NewReader(c)}
	status, _ := client.readAnswer(2900 * time.Millisecond)
	return status
}

// checkCrowd plays a crowd against one of the process's fronts. The process stays within its memory, and serves an
// ordinary client of the platform's front meanwhile.
func (p *limitedProcess) checkCrowd(address string, client crowdClient) {
	p.t.Helper()
	done := make(chan struct{})
	go func() { defer close(done); playCrowd(address, client) }()
	statuses, slowest := others(p.address, done)
	p.t.Logf("answers to an ordinary client by status: %v, the slowest after %v", statuses, slowest)
	if statuses[http.StatusOK] == 0 {
		p.t.Errorf("no query of an ordinary client was served; answers by status: %v", statuses)
	}
	p.checkPeakMemory()
}

// checkCrowd plays a crowd against a process with the least and with the most memory. The process stays within its
// memory, and serves an ordinary client meanwhile.
func checkCrowd(t *testing.T, client crowdClient) {
	t.Helper()
	for _, memoryMB := range []int{leastMemoryMB, mostMemoryMB} {
		t.Run(fmt.Sprint(memoryMB, "MB"), func(t *testing.T) {
			t.Parallel()
			p := newBuiltProcess(t, memoryMB)
			for _, r := range p.replicas {
				r.Script = func(int, int) fake.Reply { return fake.Reply{After: 100 * time.Millisecond} }
			}
			p.start(p.listing(1, inService), p.unusedDiscovery)
			p.waitServing(0, 1)
			p.checkCrowd(p.address, client)
		})
	}
}

// Hundreds of clients send heads of very many short fields. Each head takes at most its 16 KiB, however many fields it
// has.
func TestManyShortHeaderFieldsStayWithinMemory(t *testing.T) { checkCrowd(t, sendShortFields) }

// Hundreds of clients send many heads of very many short fields at once, behind a request that is in work. What waits
// counts towards the limit of what may wait on a connection, with its head.
func TestPipelinedShortFieldsStayWithinMemory(t *testing.T) { checkCrowd(t, pipelineRepeatedFields) }

// Hundreds of clients stop half way through a large request. All of them together hold no more than the process's share
// for requests.
func TestHalfSentBodiesStayWithinMemory(t *testing.T) { checkCrowd(t, sendHalfABody) }

// Hundreds of clients write a large request slowly. All of them together hold no more than the process's share for
// requests.
func TestSlowlySentBodiesStayWithinMemory(t *testing.T) { checkCrowd(t, sendSlowly) }

// Hundreds of clients send a body that becomes many times its size when it is parsed.
func TestBodiesOfManySlicesStayWithinMemory(t *testing.T) { checkCrowd(t, sendManySlices) }

// sendLargeQuery sends a query for all shards with a filter as large as a body may be. Each part carries the filter.
func sendLargeQuery(c net.Conn, id string, until time.Time) {
	body := strings.Replace(queryBody(0, 1, 2, 3, 4, 5), `"f"`, `"`+strings.Repeat("f", largestBody-400)+`"`, 1)
	io.WriteString(c, queryHead(id, "conditions-summary", len(body))+"\r\n"+body)
	stay(c, until)
}

// Hundreds of clients send the largest valid queries, whose parts each carry the filter. The frames of the parts in
// work take no more than the process's memory, also while data nodes do not answer, and ordinary clients are served.
func TestLargeQueriesStayWithinMemory(t *testing.T) {
	for name, kind := range map[string]fake.Kind{"answered": fake.Serve, "hanging": fake.NoReply} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newBuiltProcess(t, leastMemoryMB)
			for _, r := range p.replicas {
				r.Script = func(shard, _ int) fake.Reply {
					if shard < 2 { // those of the ordinary client
						return fake.Reply{}
					}
					return fake.Reply{Kind: kind, After: 100 * time.Millisecond}
				}
			}
			p.start(p.listing(1, inService), p.unusedDiscovery)
			p.waitServing(0, 1)
			p.checkCrowd(p.address, sendLargeQuery)
		})
	}
}

// largestSearch is the size in bytes of the largest body that the OpenSearch front takes.
const largestSearch = 256 << 10

// searchText returns a search with a body of which only a part is sent.
func searchText(body string, sent int) string {
	return fmt.Sprintf("POST /trails/_search HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:sent])
}

// sendHalfASearch stops half way through a large search.
func sendHalfASearch(c net.Conn, _ string, until time.Time) {
	io.WriteString(c, searchText(strings.Repeat("a", largestSearch), largestSearch*3/4))
	stay(c, until)
}

// manyClausesText is a search of as many clauses as fit into a body. It is built once: the data nodes run in the process
// of the test, and the crowd must not take their time.
var manyClausesText = sync.OnceValue(func() string {
	const clause = `{"term":{"a":1}},`
	clauses := strings.Repeat(clause, largestSearch/len(clause)-10)
	body := `{"query":{"bool":{"must":[` + strings.TrimSuffix(clauses, ",") + `]}}}`
	return searchText(body, len(body))
})

// sendManyClauses sends a search of as many clauses as fit into a body.
func sendManyClauses(c net.Conn, _ string, until time.Time) {
	io.WriteString(c, manyClausesText())
	stay(c, until)
}

// manyKeysText is a search whose clauses have as many different keys as fit into a body. It is built once, as
// manyClausesText.
var manyKeysText = sync.OnceValue(func() string {
	var keys strings.Builder
	for i := 0; keys.Len() < largestSearch-100; i++ {
		fmt.Fprintf(&keys, `"%x":0,`, i)
	}
	body := `{"query":{"term":{` + strings.TrimSuffix(keys.String(), ",") + `}}}`
	return searchText(body, len(body))
})

// sendManyKeys sends a search whose clauses have as many different keys as fit into a body.
func sendManyKeys(c net.Conn, _ string, until time.Time) {
	io.WriteString(c, manyKeysText())
	stay(c, until)
}

// Hundreds of clients of the OpenSearch front, whose bodies may be larger, stop half way or send searches that become
// many times their size when they are parsed. The process stays within its memory and serves ordinary clients.
func TestCrowdAtSearchFrontStaysWithinMemory(t *testing.T) {
	for _, tc := range []struct {
		name   string
		client crowdClient
	}{
		{"half a search", sendHalfASearch}, {"many clauses", sendManyClauses}, {"many keys", sendManyKeys},
	} {
		t.Run(tc.name, func(t *testing.T) {
			search := ownAddress(t)
			front := fileWriter(t, t.TempDir())("front.yaml", "listen: "+search+"\nindices:\n  trails: {class: route-lookup}\n")
			p := newBuiltProcess(t, leastMemoryMB, "-opensearch", front)
			p.start(p.listing(1, inService), p.unusedDiscovery)
			p.waitServing(0, 1)
			p.checkCrowd(search, tc.client)
		})
	}
}
