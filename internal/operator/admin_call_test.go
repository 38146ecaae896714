package operator

import (
	"errors"
	"strings"
	"testing"
)

// A line that parses as a call must equal the line that the call is formatted to, except for the line's end. Any other
// line must give a *CallError.
func FuzzParseCall(f *testing.F) {
	for _, s := range []string{
		"status\n", "maint-on s-1\n", "maint-off s-1\r\n", "maint-on \x00\n", "maint-on a b", "maint-on\u00a0a\n",
		"maint-on \xff\n",
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, line string) {
		call, id, err := parseCall(line)
		if err != nil {
			var callError *CallError
			if !errors.As(err, &callError) {
				t.Errorf("%q: error %v is not a *CallError", line, err)
			}
			return
		}
		formatted := call
		if call != statusCall {
			formatted += " " + id
		}
		if strings.TrimRight(line, "\r\n") != formatted || strings.ContainsAny(id, " \r\n\x00") ||
			call != statusCall && id == "" {
			t.Errorf("%q parsed as call %q with id %q", line, call, id)
		}
	})
}
