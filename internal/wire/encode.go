package wire

import (
	"bufio"
	"fmt"
	"io"
	"strings"

	"harepass"
)

// Encoder writes replies. Errors are kept and reported by End.
type Encoder struct{ w *bufio.Writer }

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder { return &Encoder{bufio.NewWriterSize(w, 1<<16)} }

// Actions writes what one instance does.
func (e *Encoder) Actions(root string, actions []harepass.Action) {
	for _, act := range actions {
		switch a := act.(type) {
		case harepass.Send:
			fmt.Fprintf(e.w, "transmit root_id=%s tid=%s max_wait_us=%d leaf=%s\n",
				root, a.Part, a.Timeout.Microseconds(), a.Replica)
		case harepass.CallOff:
			fmt.Fprintf(e.w, "call_off root_id=%s tid=%s hop=%d\n", root, a.Part, a.Attempt)
		case harepass.Answer:
			whole := 0
			if a.Whole {
				whole = 1
			}
			fmt.Fprintf(e.w, "settle_query root_id=%s tid=%s entire=%d\n", root, a.Query, whole)
		case harepass.Refuse:
			fmt.Fprintf(e.w, "deny root_id=%s tid=%s retry_in_us=%d\n",
				root, a.Query, a.RetryIn.Microseconds())
		case harepass.Fail:
			fmt.Fprintf(e.w, "surrender root_id=%s tid=%s\n", root, a.Query)
		case harepass.Disconnect:
			fmt.Fprintf(e.w, "disconnect root_id=%s leaf=%s\n", root, a.Replica)
		case harepass.Subscribe:
			fmt.Fprintf(e.w, "observe root_id=%s entire=1\n", root)
		case harepass.WakeIn:
			fmt.Fprintf(e.w, "sleep root_id=%s in_us=%d name=0\n", root, a.In.Microseconds())
		}
	}
}

// Exception reports that an instance's decision code failed.
func (e *Encoder) Exception(root, text string) {
	text = strings.Join(strings.Fields(text), " ")
	fmt.Fprintf(e.w, "exception root_id=%s text=%s\n", root, text)
}

// End closes the reply and flushes it.
func (e *Encoder) End() error {
	e.w.WriteString("eor\n")
	return e.w.Flush()
}
