package versionlog

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// The body of an entry is the published object with the entry's index put in front. Whether a published object changes
// its entry is decided by bytes: an object that is equal but written in another way counts as a change.

// maxVersionKeyBytes bounds what withVersion adds to an object, in bytes.
const maxVersionKeyBytes = 32

// statusRemoved is the status of a tombstone on the wire.
const statusRemoved = "terminated"

// isObject reports whether data is one JSON object and nothing else.
func isObject(data []byte) bool {
	return len(data) > 0 && data[0] == '{' && jsontext.Value(data).IsValid()
}

// withVersion returns a JSON object with an index as the value of its first key, "version".
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

// isBodyOf reports whether body is what withVersion makes of an object.
func isBodyOf(body, object []byte, index int64) bool {
	return bytes.Equal(body, withVersion(object, index))
}

// tombstone returns the object of a removed name.
func tombstone(name string) []byte {
	quoted, _ := json.Marshal(name) // a string can always be written
	return fmt.Appendf(nil, `{"name":%s,"status":%q}`, quoted, statusRemoved)
}
