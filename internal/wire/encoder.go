package wire

import (
	"bufio"
	"fmt"
	"io"
	"strings"

	"harepass/internal/decide/scatter"
)

// Encoder writes replies. Errors are kept and returned by End. It is for one goroutine.
type Encoder struct{ w *bufio.Writer }

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder { return &Encoder{bufio.NewWriterSize(w, bufferSize)} }

// Actions writes the actions of one instance of the decision module, one line each.
func (e *Encoder) Actions(instance string, actions []scatter.Action) {
	for _, action := range actions {
		e.action(instance, action)
	}
}

func (e *Encoder) action(instance string, action scatter.Action) {
	switch a := action.(type) {
	case scatter.Send:
		fmt.Fprintf(e.w, "transmit root_id=%s tid=%s max_wait_us=%d leaf=%s\n",
			instance, a.Part, a.Timeout.Microseconds(), a.Replica)
	case scatter.CancelAttempt:
		fmt.Fprintf(e.w, "call_off root_id=%s tid=%s hop=%d\n", instance, a.Part, a.Attempt)
	case scatter.Answer:
		complete := 0
		if a.Complete {
			complete = 1
		}
		fmt.Fprintf(e.w, "settle_query root_id=%s tid=%s entire=%d\n", instance, a.Query, complete)
	case scatter.Reject:
		fmt.Fprintf(e.w, "deny root_id=%s tid=%s retry_in_us=%d\n",
			instance, a.Query, a.RetryAfter.Microseconds())
	case scatter.Fail:
		fmt.Fprintf(e.w, "surrender root_id=%s tid=%s\n", instance, a.Query)
	case scatter.CloseIdleConnections:
		fmt.Fprintf(e.w, "disconnect root_id=%s leaf=%s\n", instance, a.Replica)
	case scatter.Subscribe:
		fmt.Fprintf(e.w, "observe root_id=%s entire=1\n", instance)
	case scatter.SetTimer:
		fmt.Fprintf(e.w, "sleep root_id=%s in_us=%d name=0\n", instance, a.After.Microseconds())
	}
}

// Exception writes a line which reports that an instance's decision code failed.
func (e *Encoder) Exception(instance, text string) {
	text = strings.Join(strings.Fields(text), " ")
	fmt.Fprintf(e.w, "exception root_id=%s text=%s\n", instance, text)
}

// End ends the reply and flushes it. It returns the first error of any write since the last End.
func (e *Encoder) End() error {
	e.w.WriteString("eor\n")
	return e.w.Flush()
}
