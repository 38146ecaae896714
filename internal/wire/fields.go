package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// fields is one parsed line, or the settings as a map from paths to values. The first access that fails sets err. An
// access that fails returns a value that must not be used.
type fields struct {
	name   string
	line   int
	values map[string]string
	err    error
}

// FieldError reports an invalid field of a message. Line is 0 for settings in JSON.
type FieldError struct {
	Line    int
	Message string // the message's name
	Field   string
	Problem string // why the field is invalid
}

// Error names the line, the message and the field.
func (e *FieldError) Error() string {
	return fmt.Sprintf("line %d: %s: field %s %s", e.Line, e.Message, e.Field, e.Problem)
}

// fail records that a field is invalid, unless an earlier failure was recorded.
func (f *fields) fail(key, problem string) {
	if f.err == nil {
		f.err = &FieldError{f.line, f.name, key, problem}
	}
}

// string returns a required field.
func (f *fields) string(key string) string {
	v := f.values[key]
	if v == "" {
		f.fail(key, "is missing")
	}
	return v
}

// optionalString returns a field, or "" if it is missing.
func (f *fields) optionalString(key string) string { return f.values[key] }

// has reports whether a field is present and not empty.
func (f *fields) has(key string) bool { return f.values[key] != "" }

func (f *fields) int64(key string) int64 {
	v := f.string(key)
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		f.fail(key, fmt.Sprintf("is no whole number: %q", v))
	}
	return n
}

func (f *fields) int(key string) int { return int(f.int64(key)) }

func (f *fields) uint64(key string) uint64 {
	v := f.string(key)
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		f.fail(key, fmt.Sprintf("is no whole number: %q", v))
	}
	return n
}

// optionalInt returns an integer field, or a default if the field is missing.
func (f *fields) optionalInt(key string, missing int) int {
	if !f.has(key) {
		return missing
	}
	return f.int(key)
}

// duration returns a field that holds a time in microseconds.
func (f *fields) duration(key string) time.Duration {
	return time.Duration(f.int64(key)) * time.Microsecond
}

// optionalDuration returns a field that holds a time in microseconds, or 0 if the field is missing.
func (f *fields) optionalDuration(key string) time.Duration {
	if !f.has(key) {
		return 0
	}
	return f.duration(key)
}

// float returns a field that holds a finite number.
func (f *fields) float(key string) float64 {
	v := f.string(key)
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		f.fail(key, fmt.Sprintf("is no number: %q", v))
	}
	return x
}

// optionalFloat returns a field that holds a finite number, or a default if the field is missing.
func (f *fields) optionalFloat(key string, missing float64) float64 {
	if !f.has(key) {
		return missing
	}
	return f.float(key)
}

// bool returns a boolean field, or false if the field is missing.
func (f *fields) bool(key string) bool {
	switch v := f.values[key]; v {
	case "", "false", "0":
		return false
	case "true", "1":
		return true
	default:
		f.fail(key, fmt.Sprintf("is neither true nor false: %q", v))
		return false
	}
}

// item returns entry i of a comma-separated list of numbers, or a default if that entry is empty or beyond the end.
// Unlike float it accepts every number that Go parses, because the platform writes the settings itself.
func (f *fields) item(key string, i int, missing float64) float64 {
	items := strings.Split(f.values[key], ",")
	if i >= len(items) || items[i] == "" {
		return missing
	}
	x, err := strconv.ParseFloat(items[i], 64)
	if err != nil {
		f.fail(key, fmt.Sprintf("is no list of numbers: %q", f.values[key]))
	}
	return x
}
