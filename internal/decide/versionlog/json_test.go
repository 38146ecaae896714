package versionlog

import (
	"errors"
	"testing"
)

func TestParseSliceRefusesUnreadableAnswers(t *testing.T) {
	for _, text := range []string{
		``,
		`{`,
		`[]`,
		`{"epoch":"1"}`,
		`{"epoch":1,"index":5,"head":7,"more":false,"endpoints":[]}`,
		`{"epoch":1,"index":7,"head":7,"endpoints":[5]}`,
		`{"epoch":1,"index":7,"head":7,"endpoints":[{"version":7}]}`,
		`{"epoch":1,"index":7,"head":7,"endpoints":[{"name":"a","version":7.5}]}`,
		`{"epoch":1,"index":7,"head":7,"endpoints":[]}x`,
	} {
		if slice, err := ParseSlice([]byte(text)); !errors.Is(err, ErrUnreadable) {
			t.Errorf("%s: parsed as %+v, %v; want ErrUnreadable", text, slice, err)
		}
	}
}
