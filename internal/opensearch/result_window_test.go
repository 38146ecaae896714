package opensearch

import (
	"net/url"
	"testing"
)

// A client requests hits starting at the largest integer. If the sum of from and size overflows, it passes as a small
// result window; the page is then cut at a negative index, which ends the process. The request must be refused.
func TestResultWindowDoesNotOverflow(t *testing.T) {
	c := &Config{SectionField: "section"}
	params := url.Values{"from": {"9223372036854775807"}}
	if _, err := c.parseSearch(&Index{name: "trails", ShardRange: []int{0, 1}}, params, nil); err == nil {
		t.Error("parseSearch accepts from=9223372036854775807")
	}
}
