package platform

import (
	"bytes"
	"fmt"
	"io"
	"testing"

	"harepass/internal/buffer"
)

// FuzzFrames checks that frames which arrive in pieces of any size, as the network splits them, are read as in one
// piece.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{2, 0, 0, 0, '5', 'x', 1, 0, 0, 0, 'X'}, uint8(1))
	f.Add([]byte{0, 0, 0, 0}, uint8(2))
	f.Fuzz(func(t *testing.T, data []byte, size uint8) {
		inOne, inPieces := readFrames(data, 1<<20), readFrames(data, 1+int(size))
		if fmt.Sprint(inOne) != fmt.Sprint(inPieces) {
			t.Errorf("in one piece %q\nin pieces %q", inOne, inPieces)
		}
	})
}

// readFrames reads frames from data that arrives in pieces of at most size bytes, up to the first error.
func readFrames(data []byte, size int) (frames []string) {
	var b buffer.Buffer
	src := bytes.NewReader(data)
	for {
		letter, rest, ok, err := nextFrame(&b)
		if err != nil {
			return append(frames, err.Error())
		}
		if ok {
			a, err := parseAnswer(rest)
			frames = append(frames, fmt.Sprint(letter, string(rest), a, err))
		} else if _, err := b.Fill(io.LimitReader(src, int64(size))); err != nil {
			return frames
		}
	}
}
