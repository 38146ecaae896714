package buffer

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"
)

// A buffer is filled and consumed alternately, with full and with short reads. Its contents must always be the bytes
// that were read and not consumed.
func FuzzBuffer(f *testing.F) {
	f.Add([]byte{200, 100, 3, 200, 200, 7, 255, 0, 255, 255}, true)
	f.Add(bytes.Repeat([]byte{255, 1}, 300), false)
	f.Fuzz(func(t *testing.T, steps []byte, halves bool) {
		var b Buffer
		var want []byte
		for i, s := range steps {
			if i%2 == 0 {
				data := bytes.Repeat([]byte{byte(i)}, 16*int(s))
				src := bytes.NewReader(data)
				for src.Len() > 0 {
					r := io.Reader(src)
					if halves {
						r = iotest.HalfReader(src)
					}
					if _, err := b.Fill(r); err != nil {
						t.Fatal(err)
					}
				}
				want = append(want, data...)
			} else {
				n := min(len(want), 16*int(s)+1)
				b.Consume(n)
				want = want[n:]
			}
			if !bytes.Equal(b.Bytes(), want) || b.Len() != len(want) {
				t.Fatalf("step %d: unconsumed bytes differ: got %d bytes, want %d", i, b.Len(), len(want))
			}
		}
	})
}
