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

// maxReaderWait bounds how long a reader's call may wait for a new version. Discovery has the same limit.
const maxReaderWait = time.Minute

// parameterError reports a query parameter that is not an integer of at least 0. Its text is the body of the answer.
type parameterError struct{ name, value string }

func (e parameterError) Error() string {
	return fmt.Sprintf("%s=%.40q is no number of at least 0", e.name, e.value)
}

// parseCall returns the reader's cursor and how long the call may wait for a new version. Missing parameters count as
// 0. The error is a parameterError.
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

// answer returns a reply as an HTTP answer. Its headers state the staleness in whole seconds (Age, as HTTP defines it)
// and in milliseconds.
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

// unavailableAnswer returns an answer that tells the reader to call again after retryAfter.
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
