package main

import (
	"errors"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"harepass/internal/test/scaletest"
)

// scaleCommand returns the command that runs a scale plan for a large fleet.
func scaleCommand() *cobra.Command {
	var program, settings, out, keep string
	c := &cobra.Command{Use: "scale PLAN.yaml", Short: "Plays a large fleet on this machine, real and hollow coordinators with relays between; see internal/test/scaletest/plans",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			plan, err := scaletest.LoadPlan(args[0])
			if err != nil {
				return err
			}
			config, remove, err := scaleConfig(program, settings, keep)
			if err != nil {
				return err
			}
			defer remove()
			config.Log = cmd.ErrOrStderr()
			result, err := scaletest.Run(ctx, plan, config)
			if result == nil || err != nil && !errors.Is(err, scaletest.ErrBoundMissed) {
				return err
			}
			if out != "" {
				err = errors.Join(err, result.Write(out))
			}
			return errors.Join(err, result.Print(cmd.OutOrStdout()))
		}}
	c.Flags().StringVar(&program, "program", "bin/harepass", "the built program")
	c.Flags().StringVar(&settings, "settings", "deploy/settings.example.json", "file of the site's settings")
	c.Flags().StringVarP(&out, "out", "o", "", "file for the result as JSON")
	c.Flags().StringVar(&keep, "keep", "", "folder for configurations and logs; a temporary one if empty")
	return c
}

// scaleConfig returns the configuration of a run. remove deletes the run's temporary folder, if it has one.
func scaleConfig(program, settings, keep string) (c scaletest.Config, remove func(), err error) {
	remove = func() {}
	if c.Settings, err = os.ReadFile(settings); err != nil {
		return c, remove, err
	}
	if program, err = filepath.Abs(program); err != nil {
		return c, remove, err
	}
	self, err := os.Executable()
	if err != nil {
		return c, remove, err
	}
	c.Program, c.Lab, c.Dir = []string{program}, []string{self}, keep
	if keep != "" {
		return c, remove, os.MkdirAll(keep, 0o700)
	}
	if c.Dir, err = os.MkdirTemp("", "scale"); err == nil {
		remove = func() { os.RemoveAll(c.Dir) }
	}
	return c, remove, err
}

// hollowCommand returns the hidden command that runs hollow coordinators for a scale run.
func hollowCommand() *cobra.Command {
	return &cobra.Command{Use: scaletest.HollowCommand, Hidden: true, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		return scaletest.RunHost(ctx, cmd.InOrStdin(), cmd.OutOrStdout())
	}}
}
