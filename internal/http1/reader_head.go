package http1

import (
	"bytes"
	"net/textproto"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	version11 = "HTTP/1.1"
	version10 = "HTTP/1.0"
	// startLineWords is the number of words in a start line. An answer may omit the last one, the reason phrase.
	startLineWords = 3
)

// framingFields are the header fields that tell how a message ends, and whether the connection ends with it.
var framingFields = []string{"Connection", "Content-Length", "Transfer-Encoding"}

// parseHead parses the start line and the header fields; incomplete is true until all of them have been received.
func (r *Reader) parseHead() (incomplete bool, err error) {
	if err := r.skipEmptyLines(); err != nil {
		return false, err
	}
	b := r.Buffer.Bytes()
	end, err := r.findHeadEnd(b)
	if end == 0 || err != nil {
		return true, err
	}
	head := b[:end]
	start, fields, _ := bytes.Cut(head, []byte(crlf))
	m := &Message{}
	if err := m.parseStartLine(string(start), r.readsAnswers); err != nil {
		return false, err
	}
	if m.Header, err = r.parseFields(fields); err != nil {
		return false, err
	}
	r.Buffer.Consume(end)
	r.bytesSearched, r.emptyLineBytes, r.chunkLineExcess, r.msg = 0, 0, 0, m
	return false, r.parseFraming(bytes.Contains(start, []byte(version10)))
}

// skipEmptyLines skips the empty lines before a message, as many as fit into a head.
func (r *Reader) skipEmptyLines() error {
	for r.bytesSearched <= 1 && bytes.HasPrefix(r.Buffer.Bytes(), []byte(crlf)) {
		r.Buffer.Consume(len(crlf))
		r.bytesSearched = 0
		if r.emptyLineBytes += len(crlf); r.emptyLineBytes > r.limits.Head {
			return malformed("too many empty lines")
		}
	}
	return nil
}

// findHeadEnd returns the size of the head in bytes, including the empty line that ends it; 0 while it is incomplete.
func (r *Reader) findHeadEnd(b []byte) (end int, err error) {
	for {
		at, err := r.findLineEnd(b, r.limits.Head)
		if at < 0 || err != nil {
			return 0, err
		}
		r.bytesSearched = at + 1
		if at >= 3 && b[at-2] == '\n' {
			return at + 1, nil
		}
	}
}

// parseStartLine parses the first line of a request or an answer into m.
func (m *Message) parseStartLine(line string, answer bool) error {
	words := strings.SplitN(line, " ", startLineWords)
	version := words[0]
	if !answer {
		version = words[len(words)-1]
	}
	complete := len(words) == startLineWords || answer && len(words) == startLineWords-1
	if !complete || version != version11 && version != version10 {
		if len(words) == startLineWords && strings.HasPrefix(version, "HTTP/") && version != version11 {
			return &Error{StatusVersionNotSupported, "version not supported"}
		}
		return malformed("bad start line")
	}
	if answer {
		return m.parseStatus(words[1])
	}
	return m.parseRequestLine(words[0], words[1])
}

// parseStatus parses the status code of an answer into m.
func (m *Message) parseStatus(word string) error {
	status, err := strconv.Atoi(word)
	if err != nil || len(word) != statusDigits || status < firstStatus {
		return malformed("bad status %q", word)
	}
	m.Status = status
	return nil
}

// parseRequestLine stores the method and the target of a request in m, and checks their characters.
func (m *Message) parseRequestLine(method, target string) error {
	m.Method, m.Target = method, target
	if method == "" || strings.ContainsFunc(method, func(c rune) bool { return c < 'A' || c > 'Z' }) {
		return malformed("bad method")
	}
	if target == "" || strings.ContainsFunc(target, func(c rune) bool { return c <= ' ' || c == 0x7f }) {
		return malformed("bad target")
	}
	return nil
}

// parseFields checks the header fields of a head, including the empty line that ends them, and returns those that
// Limits keeps. It rejects what HTTP implementations interpret differently: folded lines, and spaces before the colon.
//
// The library's parser makes a map of all fields. With very many short ones that takes many times the memory and the
// time of the head itself, so this one looks at each line and keeps only what is needed.
func (r *Reader) parseFields(fields []byte) (textproto.MIMEHeader, error) {
	kept := textproto.MIMEHeader{}
	for line := range bytes.Lines(fields[:len(fields)-len(crlf)]) {
		if line[0] == ' ' || line[0] == '\t' {
			return nil, malformed("folded header")
		}
		name, value, found := bytes.Cut(bytes.TrimRight(line, " \t\r\n"), []byte(":"))
		if !found || !httpguts.ValidHeaderFieldName(string(name)) || !httpguts.ValidHeaderFieldValue(string(value)) {
			return nil, malformed("bad header")
		}
		if canonical, needed := r.limits.fieldToKeep(name); needed {
			kept[canonical] = append(kept[canonical], string(bytes.TrimLeft(value, " \t")))
		}
	}
	return kept, nil
}

// fieldToKeep returns the canonical name of a header field that is kept, and whether it is.
func (l Limits) fieldToKeep(name []byte) (canonical string, needed bool) {
	if l.Fields == nil {
		return textproto.CanonicalMIMEHeaderKey(string(name)), true
	}
	for _, list := range [][]string{framingFields, l.Fields} {
		for _, field := range list {
			if len(field) == len(name) && strings.EqualFold(field, string(name)) {
				return field, true
			}
		}
	}
	return "", false
}

// parseFraming determines from the header fields how the body ends, and whether the connection ends with the message.
// It rejects framing that two readers could interpret differently, because one of them would read a part of the body as
// the next request. oldVersion reports that the message is HTTP/1.0.
func (r *Reader) parseFraming(oldVersion bool) error {
	m := r.msg
	lengths, coding := m.Header["Content-Length"], m.Header["Transfer-Encoding"]
	connection := m.Header["Connection"]
	m.Close = oldVersion && !hasToken(connection, "keep-alive") || hasToken(connection, "close")
	switch {
	case r.readsAnswers && m.hasNoBody():
		r.remaining, r.state = 0, inBody
	case len(coding) > 0:
		if len(lengths) > 0 {
			return malformed("both a length and a transfer coding")
		}
		if len(coding) != 1 || !strings.EqualFold(coding[0], "chunked") || oldVersion {
			return &Error{StatusNotImplemented, "transfer coding not supported"}
		}
		r.state = inSize
	case len(lengths) > 0:
		return r.parseLength(lengths)
	case r.readsAnswers:
		m.Close, r.state = true, untilEnd
	default:
		r.remaining, r.state = 0, inBody
	}
	return nil
}

// hasNoBody reports whether the status code rules out a body, regardless of the header fields.
func (m *Message) hasNoBody() bool {
	return m.Status < firstFinalStatus || m.Status == StatusNoContent || m.Status == StatusNotModified
}

// parseLength parses the values of Content-Length, which must all be equal.
func (r *Reader) parseLength(lengths []string) error {
	n, err := strconv.ParseUint(lengths[0], 10, 31)
	if err != nil || strings.HasPrefix(lengths[0], "+") {
		return malformed("bad length")
	}
	if slices.ContainsFunc(lengths, func(length string) bool { return length != lengths[0] }) {
		return malformed("conflicting lengths")
	}
	if int(n) > r.limits.Body {
		return &Error{StatusContentTooLarge, "body too large"}
	}
	r.remaining, r.state = int(n), inBody
	return nil
}

// hasToken reports whether one of the values of a header field lists token, ignoring case.
func hasToken(values []string, token string) bool {
	for _, v := range values {
		for t := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(t), token) {
				return true
			}
		}
	}
	return false
}
