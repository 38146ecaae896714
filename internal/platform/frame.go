package platform

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"harepass/internal/buffer"
	"harepass/internal/core"
	"harepass/internal/decide/scatter"
)

// A frame is a four-byte little-endian length, a one-byte kind and a payload. The length counts the kind and the
// payload.
const (
	frameCall   = '1' // to a replica: the parts of a call, one after the other
	frameCancel = '2' // to a replica: the id of a cancelled part
	frameAnswer = '5' // from a replica: the answer to one part
	frameError  = 'X' // from a replica: it could not use a frame, and closes the connection

	frameHeader = 4 // size of the length, in bytes
	// maxFrame bounds the length of a frame, in bytes: a value, which has to fit into a body of 64 KiB, and the answer
	// line before it. A peer that announces a larger frame does not speak this protocol.
	maxFrame = 68 << 10
)

// errMalformed is returned for a frame or an answer that cannot be parsed. Nothing that follows it on the connection
// can be trusted.
var errMalformed = errors.New("platform: malformed frame")

// nextFrame removes one complete frame from the buffer; ok is false while the frame is incomplete. The payload is valid
// until the buffer is used again.
func nextFrame(b *buffer.Buffer) (kind byte, payload []byte, ok bool, err error) {
	data := b.Bytes()
	if len(data) < frameHeader {
		return 0, nil, false, nil
	}
	n := int(binary.LittleEndian.Uint32(data))
	if n < 1 || n > maxFrame {
		return 0, nil, false, fmt.Errorf("%w: %d bytes", errMalformed, n)
	}
	if len(data) < frameHeader+n {
		return 0, nil, false, nil
	}
	b.Consume(frameHeader + n)
	return data[frameHeader], data[frameHeader+1 : frameHeader+n], true, nil
}

func appendFrame(b []byte, kind byte, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(1+len(payload)))
	return append(append(b, kind), payload...)
}

// partID returns the id of a part in frames: the query's id, a dot and the shard.
func partID(at *core.Attempt) string { return at.QueryID + "." + strconv.Itoa(at.Shard) }

// appendPart appends one part of a call: a line with its id, shard, time left in milliseconds (at least 1, the minimum
// of the protocol), idempotency key and length, followed by its body.
func appendPart(b []byte, at *core.Attempt) []byte {
	b = fmt.Appendf(b, "%s %d d=%d", partID(at), at.Shard, max(1, at.Remaining().Milliseconds()))
	if at.IdempotencyKey != "" {
		b = fmt.Appendf(b, ",k=%s", at.IdempotencyKey)
	}
	b = fmt.Appendf(b, " %d\n", len(at.Body))
	return append(b, at.Body...)
}

// outcomes maps the END field of an answer to the outcome of its part.
var outcomes = map[string]scatter.Outcome{
	"S": scatter.Succeeded,
	"E": scatter.Errored,
	"B": scatter.Rejected,
}

// partAnswer is a replica's answer to one part.
type partAnswer struct {
	id      string
	outcome scatter.Outcome
	value   []byte
}

// parseAnswer parses the payload of an answer: a line ID END SCORE REPORT, followed by the value, which is copied. The
// report is not parsed: the answer is valid whatever the report contains.
func parseAnswer(payload []byte) (partAnswer, error) {
	line, value, found := bytes.Cut(payload, []byte("\n"))
	fields := strings.SplitN(string(line), " ", 4)
	if !found || len(fields) < 3 {
		return partAnswer{}, fmt.Errorf("%w: answer line %.80q", errMalformed, line)
	}
	outcome, known := outcomes[fields[1]]
	if _, err := strconv.ParseFloat(fields[2], 64); !known || err != nil {
		return partAnswer{}, fmt.Errorf("%w: end or score %.80q", errMalformed, line)
	}
	if !utf8.Valid(value) { // it could not be passed to a client unchanged
		return partAnswer{}, fmt.Errorf("%w: value is not UTF-8", errMalformed)
	}
	return partAnswer{fields[0], outcome, append([]byte{}, value...)}, nil
}
