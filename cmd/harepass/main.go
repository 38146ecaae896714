// Command harepass is the coordinator of Hokkaido Snowfield Maps Co-operative.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
)

const version = "0.1.0"

const usage = "usage: harepass serve | check | relay | version"

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// usageError is a fault of the command line or the configuration.
type usageError struct{ error }

// run is the program; it returns the exit status: 2 for bad usage or configuration, 1 for other failures.
func run(args []string, out, errs io.Writer) int {
	commands := map[string]func([]string, io.Writer) error{"serve": serve, "check": check, "relay": runRelay, "version": printVersion}
	err := error(usageError{errors.New(usage)})
	if len(args) > 0 {
		if cmd := commands[args[0]]; cmd != nil {
			err = cmd(args[1:], out)
		} else if args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
			fmt.Fprintln(out, usage)
			err = nil
		}
	}
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return 0
	}
	fmt.Fprintf(errs, "harepass: %v\n", err)
	if _, bad := err.(usageError); bad {
		return 2
	}
	return 1
}

// parse reads a sub-command's flags; none takes further arguments. Asked for help, it prints them to out
// and returns flag.ErrHelp.
func parse(fs *flag.FlagSet, args []string, out io.Writer) error {
	fs.SetOutput(io.Discard)
	err := fs.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprintf(out, "usage of harepass %s:\n", fs.Name())
		fs.SetOutput(out)
		fs.PrintDefaults()
		return err
	}
	if err != nil {
		return usageError{fmt.Errorf("%s: %w", fs.Name(), err)}
	}
	if fs.NArg() > 0 {
		return usageError{fmt.Errorf("%s takes no arguments, got %q", fs.Name(), fs.Arg(0))}
	}
	return nil
}

func printVersion(args []string, out io.Writer) error {
	if err := parse(flag.NewFlagSet("version", flag.ContinueOnError), args, out); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out, "harepass", version)
	return err
}
