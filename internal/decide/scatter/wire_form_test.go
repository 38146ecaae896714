package scatter_test

import (
	"bytes"
	"fmt"

	"harepass/internal/decide/scatter"
	"harepass/internal/wire"
)

// The digests of recorded actions go by their lines on the wire, which no Go name is part of. Tests inside the package
// cannot import the wire's encoder, which imports the package.
//
// Benchmarks encode their actions too, so one buffer and one encoder serve all calls of a recorded load. The lines hold
// until the next call.
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
		for _, action := range actions { // the lines have microseconds
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
