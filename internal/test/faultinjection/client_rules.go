package faultinjection

import (
	"fmt"
	"strings"
	"time"
)

const (
	// clientLeftSlack is how long after its client has left an attempt may begin.
	clientLeftSlack = 100 * time.Millisecond
	// deadlineSlack is by how much the deadline that a replica is given may exceed what the client has left.
	deadlineSlack = 150 * time.Millisecond
)

// clientRequest is what a strict client has recorded of one of its requests.
type clientRequest struct {
	deadline time.Time // when the client gives up
	leftAt   time.Time // when it closed its connection; zero while it waits
}

// requestSent records that a client is about to send a request.
func (c *ruleChecker) requestSent(queryID string, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[queryID] = &clientRequest{deadline: deadline}
}

// clientLeft records that a client has closed its connection under a request.
func (c *ruleChecker) clientLeft(queryID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[queryID]; r != nil && r.leftAt.IsZero() {
		r.leftAt = time.Now()
	}
}

// clientViolation says which rule an attempt that has just begun breaks towards its client, given the list of its line
// in a frame and for how long its link has been healthy; empty where it breaks none. An attempt on a link that has just
// had a fault says nothing of when it was sent. It is to be called under the lock.
func (c *ruleChecker) clientViolation(queryID, list string, linkHealthy time.Duration) string {
	r := c.requests[queryID]
	if r == nil || linkHealthy <= settlingTime {
		return ""
	}
	slack, judged := c.fleet.schedulingDelay.slack()
	if !judged {
		c.unjudged++
		return ""
	}
	if late := time.Since(r.leftAt); !r.leftAt.IsZero() && late > clientLeftSlack+slack {
		return fmt.Sprintf("%v after its client had left; the slack is %v", late.Round(time.Millisecond), slack)
	}
	for entry := range strings.SplitSeq(list, ",") {
		var milliseconds int
		if _, err := fmt.Sscanf(entry, "d=%d", &milliseconds); err != nil {
			continue
		}
		excess := time.Duration(milliseconds)*time.Millisecond - time.Until(r.deadline)
		if excess > deadlineSlack+slack {
			return fmt.Sprintf("given a deadline %v beyond what its client has left; the slack is %v",
				excess.Round(time.Millisecond), slack)
		}
	}
	return ""
}
