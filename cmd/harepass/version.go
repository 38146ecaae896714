package main

import (
	"fmt"
	"io"
)

const version = "0.1.0"

// runVersion prints the program's name and version.
func runVersion(args []string, out io.Writer) error {
	if err := parse(newFlags("version"), args, out); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out, "harepass", version)
	return err
}
