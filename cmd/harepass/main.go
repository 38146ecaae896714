// Command harepass is the coordinator of Hokkaido Snowfield Maps Co-operative: it scatters queries over the replicas
// that hold the maps' shards and gathers their answers.
//
// Its sub-commands are serve, check, relay and version. The exit status is 0 for success, 2 for bad usage or
// configuration, and 1 for any other failure. Each failure is reported in one line on standard error.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"harepass/internal/config"
)

const usage = "usage: harepass serve | check | relay | version"

// Exit statuses.
const (
	statusOK      = 0
	statusFailed  = 1
	statusInvalid = 2
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// errUsage means that the sub-command is missing or unknown.
var errUsage = errors.New(usage)

// usageError marks a fault in the command line.
type usageError struct{ error }

// command runs a sub-command with its arguments and writes its results to out.
type command func(args []string, out io.Writer) error

// run runs the sub-command that args[0] names and returns the exit status.
func run(args []string, out, errs io.Writer) int {
	commands := map[string]command{"serve": runServe, "check": runCheck, "relay": runRelay,
		"version": runVersion}
	err := error(usageError{errUsage})
	if len(args) > 0 {
		if cmd := commands[args[0]]; cmd != nil {
			err = cmd(args[1:], out)
		} else if args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
			fmt.Fprintln(out, usage)
			err = nil
		}
	}
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return statusOK
	}
	fmt.Fprintf(errs, "harepass: %v\n", err)
	var badUsage usageError
	var badConfig *config.InvalidError
	if errors.As(err, &badUsage) || errors.As(err, &badConfig) {
		return statusInvalid
	}
	return statusFailed
}
