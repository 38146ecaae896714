package platform

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"harepass/internal/buffer"
	"harepass/internal/core"
	"harepass/internal/decide/scatter"
)

// Frames are a length of four bytes, least significant first, a letter, and the rest.
const (
	frameCall   = '1'
	frameCancel = '2'
	frameAnswer = '5'
	frameError  = 'X'

	frameHeader = 4
	maxFrame    = 68 << 10 // a value, which has to fit a body of 64 KiB, and its line: who claims more is not speaking frames
)

// nextFrame takes one whole frame off the buffer; ok is false while it is not all there. rest is valid
// until the buffer is used again.
func nextFrame(b *buffer.Buffer) (letter byte, rest []byte, ok bool, err error) {
	data := b.Bytes()
	if len(data) < frameHeader {
		return 0, nil, false, nil
	}
	n := int(binary.LittleEndian.Uint32(data))
	if n < 1 || n > maxFrame {
		return 0, nil, false, fmt.Errorf("platform: frame of %d bytes", n)
	}
	if len(data) < frameHeader+n {
		return 0, nil, false, nil
	}
	b.Consume(frameHeader + n)
	return data[frameHeader], data[frameHeader+1 : frameHeader+n], true, nil
}

func appendFrame(b []byte, letter byte, rest []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(1+len(rest)))
	return append(append(b, letter), rest...)
}

// partID names a part on the frames: the query's id, a dot, the shard.
func partID(at *core.Attempt) string { return at.QueryID + "." + strconv.Itoa(at.Shard) }

// appendPart writes one part of a call.
func appendPart(b []byte, at *core.Attempt) []byte {
	b = fmt.Appendf(b, "%s %d d=%d", partID(at), at.Shard, max(1, at.Remaining().Milliseconds()))
	if at.IdempotencyKey != "" {
		b = fmt.Appendf(b, ",k=%s", at.IdempotencyKey)
	}
	b = fmt.Appendf(b, " %d\n", len(at.Body))
	return append(b, at.Body...)
}

var outcomes = map[string]scatter.Outcome{"S": scatter.Succeeded, "E": scatter.Errored, "B": scatter.Rejected}

// answer is what a node sent for a part.
type answer struct {
	id      string
	outcome scatter.Outcome
	value   []byte
}

// parseAnswer reads the rest of an answer: a line ID END SCORE REPORT, then the value, which is copied. The
// report is not read: an answer counts whatever stands there.
func parseAnswer(rest []byte) (answer, error) {
	line, value, found := bytes.Cut(rest, []byte("\n"))
	words := strings.SplitN(string(line), " ", 4)
	if !found || len(words) < 3 {
		return answer{}, fmt.Errorf("platform: bad answer line %.80q", line)
	}
	outcome, known := outcomes[words[1]]
	if _, err := strconv.ParseFloat(words[2], 64); !known || err != nil {
		return answer{}, fmt.Errorf("platform: unknown end or score %.80q", line)
	}
	if !utf8.Valid(value) { // no client could be given it unchanged
		return answer{}, fmt.Errorf("platform: value is no text")
	}
	return answer{words[0], outcome, append([]byte{}, value...)}, nil
}
