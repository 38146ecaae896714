package scatter_test

import (
	"bytes"
	"fmt"

	"harepass/internal/decide/scatter"
	"harepass/internal/wire"
)

// The digests of recorded actions are made from their lines on the wire, which contain no Go names. Tests inside the
// package cannot import the encoder of the wire, which imports the package.
//
// Benchmarks encode their actions too, so one buffer and one encoder serve all calls of a recorded load. The returned
// lines are valid until the next call.
func init() { scatter.NewWireForm = newWireForm }

func newWireForm() func([]scatter.Action) []byte {
	var lines bytes.Buffer
	encoder := wire.NewEncoder(&lines)
	return func(actions []scatter.Action) []byte {
		lines.Reset()
		encoder.Actions("n0", actions)
		if err := encoder.End(); err != nil {
			panic(err)
		}
		for _, action := range actions { // the lines hold microseconds only
			switch a := action.(type) {
			case scatter.Send:
				fmt.Fprintf(&lines, "%d ns\n", a.Timeout.Nanoseconds())
			case scatter.Reject:
				fmt.Fprintf(&lines, "%d ns\n", a.RetryAfter.Nanoseconds())
			case scatter.SetTimer:
				fmt.Fprintf(&lines, "%d ns\n", a.After.Nanoseconds())
			}
		}
		return lines.Bytes()
	}
}
