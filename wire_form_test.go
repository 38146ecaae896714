package harepass_test

import (
	"bytes"
	"fmt"

	"harepass"
	"harepass/internal/wire"
)

// The digests of recorded actions go by their lines on the wire, which no Go name is part of. Tests inside the package
// cannot import the wire's encoder, which imports the package.
func init() {
	harepass.WireForm = func(actions []harepass.Action) []byte {
		var lines bytes.Buffer
		encoder := wire.NewEncoder(&lines)
		encoder.Actions("n0", actions)
		if err := encoder.End(); err != nil {
			panic(err)
		}
		for _, action := range actions { // the lines have microseconds
			switch a := action.(type) {
			case harepass.Send:
				fmt.Fprintf(&lines, "%d ns\n", a.Timeout.Nanoseconds())
			case harepass.Refuse:
				fmt.Fprintf(&lines, "%d ns\n", a.RetryIn.Nanoseconds())
			case harepass.WakeIn:
				fmt.Fprintf(&lines, "%d ns\n", a.In.Nanoseconds())
			}
		}
		return lines.Bytes()
	}
}
