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

// A frame is a length of four bytes, least significant first, which counts what follows: a letter for its kind, and the
// payload.
const (
	frameCall   = '1' // to a replica: parts, one after the other
	frameCancel = '2' // to a replica: the id of a part that is cancelled
	frameAnswer = '5' // from a replica: the answer to one part
	frameError  = 'X' // from a replica: it could not use a frame, and closes the connection

	frameHeader = 4 // bytes of the length
	// maxFrame bounds a frame, in bytes: a value, which has to fit a body of 64 KiB, and its line. Who claims more
	// does not speak frames.
	maxFrame = 68 << 10
)

// errMalformed is returned for a frame or an answer that cannot be read. Nothing after it on a connection can be
// trusted.
var errMalformed = errors.New("platform: malformed frame")

// nextFrame takes one complete frame off the buffer; ok is false while it is not all there. The payload is valid
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

// partID names a part on the frames: the query's id, a dot, the shard.
func partID(at *core.Attempt) string { return at.QueryID + "." + strconv.Itoa(at.Shard) }

// appendPart writes one part of a call: a line with its id, shard, time left in milliseconds (1 is the least that
// the wire has), idempotency key and length, then its body.
func appendPart(b []byte, at *core.Attempt) []byte {
	b = fmt.Appendf(b, "%s %d d=%d", partID(at), at.Shard, max(1, at.Remaining().Milliseconds()))
	if at.IdempotencyKey != "" {
		b = fmt.Appendf(b, ",k=%s", at.IdempotencyKey)
	}
	b = fmt.Appendf(b, " %d\n", len(at.Body))
	return append(b, at.Body...)
}

// outcomes maps how an answer says that its part ended.
var outcomes = map[string]scatter.Outcome{
	"S": scatter.Succeeded,
	"E": scatter.Errored,
	"B": scatter.Rejected,
}

// partAnswer is what a replica sent for a part.
type partAnswer struct {
	id      string
	outcome scatter.Outcome
	value   []byte
}

// parseAnswer reads the payload of an answer: a line ID END SCORE REPORT, then the value, which is copied. The
// report is not read: an answer counts whatever it holds.
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
	if !utf8.Valid(value) { // no client could be given it unchanged
		return partAnswer{}, fmt.Errorf("%w: value is not UTF-8", errMalformed)
	}
	return partAnswer{fields[0], outcome, append([]byte{}, value...)}, nil
}
