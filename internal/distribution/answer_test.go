package distribution

import (
	"net/textproto"
	"testing"
	"time"

	"harepass/internal/http1"
)

// The Age-Ms header takes precedence over the Age header, which is the only one that older relays send. A header that
// cannot be parsed counts as missing.
func TestStalenessOfAnswer(t *testing.T) {
	for _, c := range []struct {
		seconds, milliseconds string
		want                  time.Duration
	}{
		{"1", "1499", 1499 * time.Millisecond},
		{"2", "", 2 * time.Second},
		{"2", "-1", 2 * time.Second},
		{"", "", 0},
		{"1.5", "99999999999999999999", 0},
	} {
		header := textproto.MIMEHeader{}
		header.Set("Age", c.seconds)
		header.Set("Age-Ms", c.milliseconds)
		if got := stalenessOf(&http1.Message{Header: header}); got != c.want {
			t.Errorf("Age %q, Age-Ms %q: staleness is %v, want %v", c.seconds, c.milliseconds, got, c.want)
		}
	}
}
