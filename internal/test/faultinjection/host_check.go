package faultinjection

import (
	"errors"
	"fmt"
	"strings"
)

// Forwarded reports whether a replica has received a part of a query. Any goroutine may call it.
func (h *Host) Forwarded(queryID string) bool {
	for _, r := range h.Replicas {
		for _, line := range r.Received() {
			if strings.HasPrefix(line, queryID+".") {
				return true
			}
		}
	}
	return false
}

// Check checks the parts that the replicas have recorded: each non-idempotent part ran at most once, each part carried
// its client's idempotency key, or none if the client sent none, no part reached a replica in maintenance after the
// grace, and replicas received parts of every class. The error joins one that wraps ErrRuleViolated for each violation.
func (h *Host) Check() (err error) {
	violation := func(format string, args ...any) {
		err = errors.Join(err, fmt.Errorf("%w: %s", ErrRuleViolated, fmt.Sprintf(format, args...)))
	}
	runs, classesSeen := map[string]int{}, map[string]bool{}
	for _, r := range h.Replicas {
		for _, line := range r.Received() {
			words := strings.Fields(line)
			partID, list := words[0], words[2]
			queryID, _, _ := strings.Cut(partID, ".")
			class := h.site.classOf(queryID)
			classesSeen[class.name] = true
			if runs[partID]++; runs[partID] == 2 && class.idempotency == nonIdempotent {
				violation("non-idempotent part %s ran twice", partID)
			}
			if key := h.site.keyViolation(queryID, list); key != "" {
				violation("%s", key)
			}
		}
	}
	for _, c := range h.site.classes {
		if !classesSeen[c.name] {
			violation("no part of class %s reached a replica", c.name)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.misdirected) > 0 {
		violation("%d parts reached replicas in maintenance after the grace; the first: %s",
			len(h.misdirected), h.misdirected[0])
	}
	return err
}
