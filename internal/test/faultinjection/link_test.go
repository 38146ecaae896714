package faultinjection

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"testing"
)

// arrivals sends messages numbered from 0 to n-1 from a server through a link with faults, and returns the numbers in
// their order of arrival.
func arrivals(t *testing.T, n int, faults MessageFaults) (numbers []int) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	go func() {
		conn, err := server.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		for i := range n {
			conn.Write(binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(nil, 4), uint32(i)))
		}
	}()
	link, err := NewFramedLink(server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	link.InjectMessageFaults(faults)
	conn, err := net.Dial("tcp", link.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	data, _ := io.ReadAll(conn)
	for ; len(data) >= 8; data = data[8:] {
		numbers = append(numbers, int(binary.LittleEndian.Uint32(data[4:])))
	}
	return numbers
}

// A link drops, duplicates and reorders complete messages in the configured shares, and the same seed selects the same
// messages.
func TestLinkInjectsMessageFaults(t *testing.T) {
	if all := arrivals(t, 100, MessageFaults{}); len(all) != 100 || all[99] != 99 {
		t.Errorf("through a healthy link arrive %v, want 0 to 99", all)
	}
	rest := arrivals(t, 400, MessageFaults{Drop: 0.25, Seed: 3})
	if len(rest) < 250 || len(rest) > 350 {
		t.Errorf("with a drop share of 0.25, %d of 400 messages arrive, want 250 to 350", len(rest))
	}
	if again := arrivals(t, 400, MessageFaults{Drop: 0.25, Seed: 3}); fmt.Sprint(again) != fmt.Sprint(rest) {
		t.Error("the same seed drops other messages in the second run")
	}
	duplicated := arrivals(t, 400, MessageFaults{Duplicate: 0.25, Seed: 3})
	if len(duplicated) < 450 || len(duplicated) > 550 {
		t.Errorf("with a duplicate share of 0.25, %d messages arrive for 400 sent, want 450 to 550", len(duplicated))
	}
	reordered, inversions := arrivals(t, 400, MessageFaults{Reorder: 0.25, Seed: 3}), 0
	for i := 1; i < len(reordered); i++ {
		if reordered[i] < reordered[i-1] {
			inversions++
		}
	}
	if inversions < 50 || len(reordered) < 399 {
		t.Errorf("with a reorder share of 0.25, %d of %d arrivals follow a later message, want at least 50 of 399",
			inversions, len(reordered))
	}
}
