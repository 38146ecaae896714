package platform

import (
	"log/slog"
	"time"

	"harepass/internal/counters"
	"harepass/internal/logmsg"
)

// freeAnswerBytes is the memory in bytes that every connection may use for an answer, so that ordinary answers never
// depend on what other replicas send. What a connection uses beyond it counts towards Caller.MaxAnswerBytes.
const freeAnswerBytes = 4 << 10

// connsEndedForMemory counts the connections that were closed because incomplete answers took too much memory.
var connsEndedForMemory = counters.New("node_connections", "ended_for_memory")

// answerMemory is the memory that the incomplete answer on a connection takes. The Caller's mu guards it.
type answerMemory struct {
	charged int       // bytes beyond freeAnswerBytes
	since   time.Time // when the answer first took more than freeAnswerBytes
}

// chargeAnswer records the size in bytes of the buffer that holds the incomplete answer on the connection. If the
// answers on all connections together then exceed MaxAnswerBytes, it discards connections, those whose answers have
// been incomplete for the longest time first. That says nothing about the health of their replicas.
func (c *replicaConn) chargeAnswer(bytes int) {
	c.caller.mu.Lock()
	defer c.caller.mu.Unlock()
	excess := max(0, bytes-freeAnswerBytes)
	if c.closed {
		excess = 0
	}
	if c.answer.charged == 0 {
		c.answer.since = time.Now()
	}
	c.setAnswerCharge(excess)
	for c.caller.MaxAnswerBytes > 0 && c.caller.answerBytes > c.caller.MaxAnswerBytes {
		c.caller.longestIncomplete().discardForMemory()
	}
}

// setAnswerCharge changes what the connection's answer takes of MaxAnswerBytes. mu must be held.
func (c *replicaConn) setAnswerCharge(bytes int) {
	c.caller.answerBytes += bytes - c.answer.charged
	c.answer.charged = bytes
}

// longestIncomplete returns the connection whose answer has taken more than freeAnswerBytes for the longest time. There
// is one if answerBytes is not 0. mu must be held.
func (caller *Caller) longestIncomplete() (longest *replicaConn) {
	for _, list := range caller.conns {
		for _, c := range list {
			if c.answer.charged > 0 && (longest == nil || c.answer.since.Before(longest.answer.since)) {
				longest = c
			}
		}
	}
	return longest
}

// discardForMemory discards the connection because its answer takes too much memory. mu must be held.
func (c *replicaConn) discardForMemory() {
	connsEndedForMemory.Inc()
	slog.Debug("replica answer dropped for memory", logmsg.KeyReplica, c.replica, "bytes", c.answer.charged)
	c.discard()
}
