package platform

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strconv"

	"harepass"
	"harepass/internal/buffer"
	"harepass/internal/core"
)

// Frames are a length of four bytes, least significant first, a letter, and the rest.
const (
	frameCall   = '1'
	frameGiveUp = '2'
	frameAnswer = '5'
	frameFault  = 'X'

	frameHead = 4
	frameMost = 1 << 20 // far above any value: whoever announces more is not speaking frames
)

// nextFrame takes one whole frame off the buffer; ok is false while it is not all there. rest is valid
// until the buffer is used again.
func nextFrame(b *buffer.Buffer) (letter byte, rest []byte, ok bool, err error) {
	data := b.Bytes()
	if len(data) < frameHead {
		return 0, nil, false, nil
	}
	n := int(binary.LittleEndian.Uint32(data))
	if n < 1 || n > frameMost {
		return 0, nil, false, fmt.Errorf("platform: frame of %d bytes", n)
	}
	if len(data) < frameHead+n {
		return 0, nil, false, nil
	}
	b.Consume(frameHead + n)
	return data[frameHead], data[frameHead+1 : frameHead+n], true, nil
}

func appendFrame(b []byte, letter byte, rest []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(1+len(rest)))
	return append(append(b, letter), rest...)
}

// partID names a part on the frames: the query's id, a dot, the shard.
func partID(at *core.Attempt) string { return at.Query + "." + strconv.Itoa(at.Shard) }

// appendPart writes one part of a call.
func appendPart(b []byte, at *core.Attempt) []byte {
	b = fmt.Appendf(b, "%s %d d=%d %d\n", partID(at), at.Shard, max(1, at.Timeout.Milliseconds()), len(at.Text))
	return append(b, at.Text...)
}

var ends = map[string]harepass.Outcome{"S": harepass.Served, "E": harepass.Errored, "B": harepass.Full}

// parseAnswer reads the rest of an answer: a line ID END SCORE REPORT, then the value, which is copied.
func parseAnswer(rest []byte) (id string, outcome harepass.Outcome, value []byte, err error) {
	line, value, found := bytes.Cut(rest, []byte("\n"))
	words := bytes.Fields(line)
	if !found || len(words) != 4 {
		return "", 0, nil, fmt.Errorf("platform: bad answer line %q", line)
	}
	outcome, known := ends[string(words[1])]
	if !known {
		return "", 0, nil, fmt.Errorf("platform: unknown end %q", words[1])
	}
	return string(words[0]), outcome, append([]byte{}, value...), nil
}
