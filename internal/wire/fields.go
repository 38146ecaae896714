package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// fields is one parsed line, or the settings as paths with their values. The first access that fails sets err; further
// ones return zero values.
type fields struct {
	name   string
	line   int
	values map[string]string
	err    error
}

// FieldError says which field of a message is wrong. Line is 0 for the settings where they stand as JSON.
type FieldError struct {
	Line    int
	Message string // the message's name
	Field   string
	Problem string // what is wrong with the field
}

// Error names line, message and field.
func (e *FieldError) Error() string {
	return fmt.Sprintf("line %d: %s: field %s %s", e.Line, e.Message, e.Field, e.Problem)
}

// fail notes what is wrong with a field, unless another one was wrong before.
func (f *fields) fail(key, problem string) {
	if f.err == nil {
		f.err = &FieldError{f.line, f.name, key, problem}
	}
}

// string is a field that has to be there.
func (f *fields) string(key string) string {
	v := f.values[key]
	if v == "" {
		f.fail(key, "is missing")
	}
	return v
}

// optionalString is a field that may be missing, and is empty then.
func (f *fields) optionalString(key string) string { return f.values[key] }

// has reports whether a field is there.
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

// optionalInt is a whole number, or a default where the field is missing.
func (f *fields) optionalInt(key string, missing int) int {
	if !f.has(key) {
		return missing
	}
	return f.int(key)
}

// duration is a time in microseconds.
func (f *fields) duration(key string) time.Duration {
	return time.Duration(f.int64(key)) * time.Microsecond
}

// optionalDuration is a time in microseconds, 0 where the field is missing.
func (f *fields) optionalDuration(key string) time.Duration {
	if !f.has(key) {
		return 0
	}
	return f.duration(key)
}

// float is a finite number.
func (f *fields) float(key string) float64 {
	v := f.string(key)
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		f.fail(key, fmt.Sprintf("is no number: %q", v))
	}
	return x
}

// optionalFloat is a finite number, or a default where the field is missing.
func (f *fields) optionalFloat(key string, missing float64) float64 {
	if !f.has(key) {
		return missing
	}
	return f.float(key)
}

// bool is a flag; a missing one is false.
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

// item is entry i of a comma-joined list of numbers, or a default where the list is shorter. Unlike float it takes any
// number that Go parses: the settings are the platform's own.
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
