package opensearch

import (
	"net/url"
	"testing"
)

// A client asks for hits from the largest number on that there is. The sum of from and size overflows and so passes for
// a small result window; the page is then cut at a negative index, which ends the process. The request has to be
// refused.
func TestResultWindowDoesNotOverflow(t *testing.T) {
	c := &Config{SectionField: "section"}
	params := url.Values{"from": {"9223372036854775807"}}
	if _, err := c.parseSearch(&Index{name: "trails", ShardRange: []int{0, 1}}, params, nil); err == nil {
		t.Error("from=9223372036854775807 is taken")
	}
}
