package operator

import (
	"errors"
	"strings"
	"testing"
)

// Whatever is read as a call gives the line again when it is written.
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
				t.Errorf("%q: %v is no CallError", line, err)
			}
			return
		}
		again := call
		if call != statusCall {
			again += " " + id
		}
		if strings.TrimRight(line, "\r\n") != again || strings.ContainsAny(id, " \r\n\x00") ||
			call != statusCall && id == "" {
			t.Errorf("%q read as %q %q", line, call, id)
		}
	})
}
