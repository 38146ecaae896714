package main

import (
	"errors"
	"flag"
	"fmt"
	"io"

	"harepass/internal/config"
)

// newFlags returns an empty flag set for a sub-command.
func newFlags(name string) *flag.FlagSet { return flag.NewFlagSet(name, flag.ContinueOnError) }

// parse parses a sub-command's flags and rejects further arguments. If help is requested, it prints the flags to out
// and returns flag.ErrHelp. Any other error is a usageError.
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

// pathFlags defines the flags for the paths of the installation's files, which serve and check share.
func pathFlags(fs *flag.FlagSet) *config.Paths {
	p := &config.Paths{}
	fs.StringVar(&p.OpenSearch, "opensearch", config.DefaultOpenSearchPath,
		"the OpenSearch front's file; the front is off where the default is missing")
	fs.StringVar(&p.Overload, "overload", config.DefaultOverloadPath,
		"the file of overload control, which is off where the default is missing")
	fs.StringVar(&p.Distribution, "distribution", config.DefaultDistributionPath,
		"the file of the relays that give out nodes and settings; they are not used where the default is missing")
	return p
}
