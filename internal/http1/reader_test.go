package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
)

var small = Limits{Head: 256, Body: 64}

// pieces gives text in pieces whose sizes follow a pattern.
type pieces struct {
	text  []byte
	sizes []byte
	n     int
}

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.text) == 0 {
		return 0, io.EOF
	}
	size := len(p.text)
	if len(p.sizes) > 0 {
		size = min(size, 1+int(p.sizes[p.n%len(p.sizes)])%40)
		p.n++
	}
	n := copy(b[:min(len(b), size)], p.text)
	p.text = p.text[n:]
	return n, nil
}

// readAll tells in words what a Reader makes of text.
func readAll(r *Reader, text string, sizes []byte) (out []string) {
	src := &pieces{text: []byte(text), sizes: sizes}
	for {
		m, err := r.Read(src)
		var bad *Error
		switch {
		case errors.As(err, &bad):
			return append(out, fmt.Sprint(bad.Status))
		case err != nil:
			return append(out, err.Error())
		}
		out = append(out, fmt.Sprintf("%s %s %q close=%t", m.Method, m.Target, m.Body, m.Close))
	}
}

// FuzzReader plays random requests, sound and not, in random pieces against a model that says of each
// request by itself what a reader has to make of it.
func FuzzReader(f *testing.F) {
	for kind := range byte(18) {
		f.Add([]byte{0, 3, kind, 9, 1, 20}, []byte{kind})
	}
	f.Add([]byte{1, 60, 0, 0, 3, 1}, []byte{7, 1, 30})
	f.Add([]byte{2, 2, 4, 0, 0, 1}, []byte{255})
	f.Fuzz(func(t *testing.T, steps, sizes []byte) {
		var wire strings.Builder
		var want []string
		broken := false
		for i := 0; i+1 < len(steps) && i < 40 && !broken; i += 2 {
			n := int(steps[i+1]) % 60
			body := strings.Repeat("b", n)
			ok := fmt.Sprintf("POST /%d %q close=false", i, body)
			end := func(status string) { want, broken = append(want, status), true }
			switch head := fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: h\r\n", i); steps[i] % 18 {
			case 0:
				fmt.Fprintf(&wire, "%sContent-Length: %d\r\n\r\n%s", head, n, body)
				want = append(want, ok)
			case 1: // in chunks of up to seven, with an extension and a trailer
				fmt.Fprintf(&wire, "%sTransfer-Encoding: chunked\r\n\r\n", head)
				for rest := body; rest != ""; {
					c := rest[:min(7, len(rest))]
					fmt.Fprintf(&wire, "%X;x=y\r\n%s\r\n", len(c), c)
					rest = rest[len(c):]
				}
				wire.WriteString("0\r\nX-Sum: 1\r\n\r\n")
				want = append(want, ok)
			case 2:
				fmt.Fprintf(&wire, "\r\nGET /%d HTTP/1.1\r\nConnection: Close\r\n\r\n", i)
				want = append(want, fmt.Sprintf("GET /%d \"\" close=true", i))
			case 3:
				fmt.Fprintf(&wire, "%sContent-Length: %d\r\nContent-Length: %d\r\n\r\n", head, n, n+1)
				end("400")
			case 4:
				fmt.Fprintf(&wire, "%sContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n", head, n)
				end("400")
			case 5:
				fmt.Fprintf(&wire, "%sContent-Length: 65\r\n\r\n", head)
				end("413")
			case 6:
				fmt.Fprintf(&wire, "%sTransfer-Encoding: chunked\r\n\r\n3F\r\n%s\r\n2\r\n", head, strings.Repeat("b", 63))
				end("413")
			case 7:
				fmt.Fprintf(&wire, "%sX: %s\r\n\r\n", head, strings.Repeat("x", 256))
				end("431")
			case 8:
				fmt.Fprintf(&wire, "%sX: y\n\r\n", head)
				end("400")
			case 9:
				fmt.Fprintf(&wire, "%sTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n", head)
				end("400")
			case 10:
				fmt.Fprintf(&wire, "%sX: y\r\n folded\r\n\r\n", head)
				end("400")
			case 11:
				fmt.Fprintf(&wire, "%sTransfer-Encoding: gzip\r\n\r\n", head)
				end("501")
			case 12:
				fmt.Fprintf(&wire, "GET /%d HTTP/2.0\r\n\r\n", i)
				end("505")
			case 14: // lengths that are wrong, negative or huge, of bodies that come all the same
				fmt.Fprintf(&wire, "%sContent-Length: %s\r\n\r\n%s", head, []string{"-1", "+2", "1 2", "0x9", "", "99999999999999999999"}[n%6], body)
				end("400")
			case 15: // a body of 60 MB, with its length and without
				fmt.Fprintf(&wire, "%s%s\r\n\r\n%s", head, []string{"Content-Length: 60000000",
					"Transfer-Encoding: chunked\r\n\r\n3938700"}[n%2], body)
				end("413")
			case 16: // a chunk that claims less than nothing
				fmt.Fprintf(&wire, "%sTransfer-Encoding: chunked\r\n\r\n-%X\r\n%s\r\n", head, n, body)
				end("400")
			case 17: // no HTTP at all
				fmt.Fprintf(&wire, "\x16\x03\x01%s\r\n\r\n", body)
				end("400")
			case 13:
				fmt.Fprintf(&wire, "%sContent-Length: %d\r\n\r\n%s", head, n+1, body)
				end("unexpected EOF")
			}
		}
		if !broken {
			want = append(want, "EOF")
		}
		if got := readAll(NewRequestReader(small), wire.String(), sizes); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%q in pieces %v:\n got %q\nwant %q", wire.String(), sizes, got, want)
		}
	})
}

// FuzzBytes holds that any bytes mean the same in any pieces, that limits are kept, and that what is read
// is read the same again when it is written.
func FuzzBytes(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nhiGET / HTTP/1.0\r\n\r\n"), []byte{0})
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\nuntil the end"), []byte{3})
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\nHTTP/1.1 204 \r\n\r\n"), []byte{1})
	f.Fuzz(func(t *testing.T, text, sizes []byte) {
		for _, make := range []func(Limits) *Reader{NewRequestReader, NewAnswerReader} {
			whole, split := readAll(make(small), string(text), nil), readAll(make(small), string(text), sizes)
			if fmt.Sprint(whole) != fmt.Sprint(split) {
				t.Errorf("whole %q\nsplit %q", whole, split)
			}
			r := make(small)
			m, err := r.Read(bytes.NewReader(text))
			if err != nil {
				continue
			}
			if len(m.Body) > small.Body {
				t.Errorf("a body of %d bytes", len(m.Body))
			}
			m.Header.Del("Content-Length")
			m.Header.Del("Transfer-Encoding")
			m.Header.Del("Connection")
			if m.Method == "GET" || m.Status == 204 || m.Status == 304 || m.Status > 0 && m.Status < 200 {
				m.Body = nil
			}
			again, err := make(DefaultLimits).Read(bytes.NewReader(m.Append(nil)))
			if err != nil || again.Method != m.Method || again.Target != m.Target || again.Status != m.Status ||
				!bytes.Equal(again.Body, m.Body) {
				t.Errorf("%+v written and read again: %+v, %v", m, again, err)
			}
		}
	})
}
