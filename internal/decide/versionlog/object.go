package versionlog

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// The body of an entry is the published object with the entry's index added as its first key. A published object is
// compared with the entry byte by byte, so an equal object in another notation counts as a change.

// maxVersionKeyBytes bounds the bytes that withVersion adds to an object.
const maxVersionKeyBytes = 32

// statusRemoved is the status of a tombstone on the wire.
const statusRemoved = "terminated"

// isObject reports whether data is one JSON object and nothing else.
func isObject(data []byte) bool {
	return len(data) > 0 && data[0] == '{' && jsontext.Value(data).IsValid()
}

// withVersion returns the JSON object with a first key "version" added, whose value is the index.
func withVersion(object []byte, index int64) []byte {
	body := make([]byte, 0, len(object)+maxVersionKeyBytes)
	body = append(body, `{"version":`...)
	body = strconv.AppendInt(body, index, 10)
	rest := bytes.TrimLeft(object[1:], " \t\r\n")
	if rest[0] != '}' {
		body = append(body, ',')
	}
	return append(body, rest...)
}

// isBodyOf reports whether body is what withVersion returns for the object and the index.
func isBodyOf(body, object []byte, index int64) bool {
	return bytes.Equal(body, withVersion(object, index))
}

// tombstone returns the object of a removed name.
func tombstone(name string) []byte {
	quoted, _ := json.Marshal(name) // a string can always be encoded
	return fmt.Appendf(nil, `{"name":%s,"status":%q}`, quoted, statusRemoved)
}
