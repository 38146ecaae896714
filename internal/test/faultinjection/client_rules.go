package faultinjection

import (
	"fmt"
	"strings"
	"time"
)

const (
	// clientLeftSlack is how long after a client has left an attempt of its query may still begin.
	clientLeftSlack = 100 * time.Millisecond
	// deadlineSlack is by how much the deadline that a replica is given may exceed the client's remaining time.
	deadlineSlack = 150 * time.Millisecond
)

// clientRequest is a strict client's record of one of its requests.
type clientRequest struct {
	deadline time.Time // when the client stops waiting
	leftAt   time.Time // when it closed its connection; zero while it waits
}

// requestSent records that a client is about to send a request.
func (c *ruleChecker) requestSent(queryID string, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[queryID] = &clientRequest{deadline: deadline}
}

// clientLeft records that a client has closed its connection while its request was open.
func (c *ruleChecker) clientLeft(queryID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[queryID]; r != nil && r.leftAt.IsZero() {
		r.leftAt = time.Now()
	}
}

// clientViolation checks an attempt that a replica has just received against its client's request, given the parameter
// list of its line in the frame and how long its link has been healthy. It returns a description of the broken rule, or
// an empty string if there is none. It skips attempts on a link that had a fault up to settlingTime ago, because their
// arrival time does not show when they were sent. The caller must hold the lock.
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
			return fmt.Sprintf("with a deadline %v later than its client's; the slack is %v",
				excess.Round(time.Millisecond), slack)
		}
	}
	return ""
}
