package relay

import (
	"fmt"
	"net/textproto"
	"net/url"
	"strconv"
	"time"

	"harepass/internal/decide/versionlog"
	"harepass/internal/distribution"
	"harepass/internal/http1"
)

// maxReaderWait is how long a reader may wait for a new version at most; discovery has the same limit.
const maxReaderWait = time.Minute

// parameterError is the error of a query parameter that is no number, or a negative one. Its text is the answer's body.
type parameterError struct{ name, value string }

func (e parameterError) Error() string {
	return fmt.Sprintf("%s=%.40q is no number of at least 0", e.name, e.value)
}

// parseCall returns where the reader is and how long it may wait for a new version. Parameters that are missing count
// as 0; the error is a parameterError.
func parseCall(query url.Values) (from versionlog.Cursor, maxWait time.Duration, err error) {
	var milliseconds int64
	for _, parameter := range []struct {
		name  string
		value *int64
	}{
		{"epoch", &from.Epoch}, {"from", &from.Index}, {"base", &from.Base}, {"head", &from.NewestIndex},
		{"hold_ms", &milliseconds},
	} {
		text := query.Get(parameter.name)
		if text == "" {
			continue
		}
		if *parameter.value, err = strconv.ParseInt(text, 10, 64); err != nil || *parameter.value < 0 {
			return from, 0, parameterError{parameter.name, text}
		}
	}
	return from, time.Duration(min(milliseconds, maxReaderWait.Milliseconds())) * time.Millisecond, nil
}

// answer returns a reply as an HTTP answer. The header gives the staleness in whole seconds, as HTTP has it, and in
// milliseconds.
func answer(reply Reply) *http1.Message {
	switch reply.Rejection {
	case Empty, Busy:
		return unavailableAnswer(reply.RetryAfter)
	case Behind:
		return plainAnswer(http1.StatusConflict, "this source is behind the reader")
	}
	m := jsonAnswer(reply.Body)
	m.Header.Set("Age", strconv.Itoa(int(reply.Staleness/time.Second)))
	m.Header.Set(distribution.AgeMillisecondsHeader, strconv.FormatInt(reply.Staleness.Milliseconds(), 10))
	return m
}

// unavailableAnswer returns the answer to a reader that is to come back.
func unavailableAnswer(retryAfter time.Duration) *http1.Message {
	m := plainAnswer(http1.StatusServiceUnavailable, "not now")
	m.Header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	return m
}

// plainAnswer returns an answer with one line of text.
func plainAnswer(status int, text string) *http1.Message {
	return &http1.Message{Status: status, Header: textproto.MIMEHeader{"Content-Type": {"text/plain"}},
		Body: []byte(text + "\n")}
}

// jsonAnswer returns an answer with a JSON body.
func jsonAnswer(body []byte) *http1.Message {
	return &http1.Message{Status: http1.StatusOK, Header: textproto.MIMEHeader{"Content-Type": {"application/json"}},
		Body: body}
}
