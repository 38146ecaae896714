// Command lab provides the tools of the laboratory: emulated map nodes, load, and experiments on the coordinator.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"harepass/internal/test/capacity"
	"harepass/internal/test/coordinatorproc"
	"harepass/internal/test/experiment"
	labcapacity "harepass/internal/test/experiments/capacity"
	"harepass/internal/test/fakedata"
	"harepass/internal/test/fakeserver"
	"harepass/internal/test/faultcli"
	"harepass/internal/test/loadgen"
	"harepass/internal/test/loadreport"
	"harepass/internal/test/logsummary"
	"harepass/internal/test/scaletest"
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		if errors.Is(err, experiment.ErrTargetMissed) || errors.Is(err, scaletest.ErrBoundMissed) || errors.Is(err, faultcli.ErrSoakFailed) {
			os.Exit(1)
		}
		os.Exit(2)
	}
}

func root() *cobra.Command {
	c := &cobra.Command{Use: "lab", Short: "Emulated map nodes, and experiments on the coordinator",
		SilenceUsage: true, SilenceErrors: true}
	c.AddCommand(runCommand(), nodesCommand(), mountainCommand(), loadCommand(), reportCommand(), logsCommand(), upgradesCommand(), fleetCommand(), soakCommand(), coordinatorCommand(),
		capacityHelperCommand(), capacityPageCommand(), scaleCommand(), hollowCommand())
	return c
}

func runCommand() *cobra.Command {
	var keep string
	c := &cobra.Command{Use: "run NAME", Short: "Runs an experiment; exits 1 where an aim is missed", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return experiment.Run(experiments, args[0], cmd.OutOrStdout(), keep)
		}}
	c.Flags().StringVar(&keep, "keep", "", "folder for the results of its loads, for lab report")
	c.Long = c.Short + ":\n"
	for _, e := range experiments {
		c.Long += fmt.Sprintf("\n  %-12s %s", e.Name, e.Short)
	}
	return c
}

func nodesCommand() *cobra.Command {
	c := fakeserver.Config{}
	cmd := &cobra.Command{Use: "nodes", Short: "Serves the map nodes of an inventory on their loopback addresses, until interrupted", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return c.Serve(cmd.Context(), cmd.OutOrStdout()) }}
	cmd.Flags().StringVar(&c.Inventory, "inventory", "deploy/nodes.example.csv", "CSV or YAML file of the nodes")
	cmd.Flags().StringVar(&c.Data, "data", "", "YAML file of the mountain, as 'lab mountain' prints it; made from the seed if empty")
	cmd.Flags().Uint64Var(&c.Seed, "seed", 1, "seed of the mountain")
	cmd.Flags().IntVar(&c.Shards, "sections", 6, "sections of the mountain")
	cmd.Flags().IntVar(&c.RingSize, "cells", 3, "cells of the ring, as the coordinator's settings have them")
	cmd.Flags().DurationVar(&c.WorkUnit, "unit", 0, "time that a unit of work takes")
	cmd.Flags().DurationVar(&c.ChangeInterval, "change", 0, "time between changes of the data; 0 for none")
	return cmd
}

func mountainCommand() *cobra.Command {
	var seed uint64
	var sections, trails int
	c := &cobra.Command{Use: "mountain", Short: "Prints the data of a seed as YAML: sections, trails, open or closed, versions", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return fakedata.New(seed, sections, trails).Write(cmd.OutOrStdout())
		}}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed")
	c.Flags().IntVar(&sections, "sections", 6, "sections")
	c.Flags().IntVar(&trails, "trails", 8, "trails of a section")
	return c
}

func loadCommand() *cobra.Command {
	var out string
	c := &cobra.Command{Use: "load PLAN.yaml", Short: "Plays open-loop traffic against an OpenSearch-style front on a loopback address", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			plan, err := loadgen.ReadPlan(args[0])
			if err != nil {
				return err
			}
			res, err := plan.Run(cmd.Context(), cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			if out != "" {
				res.Name = strings.TrimSuffix(filepath.Base(out), ".json")
				if err := res.Write(out); err != nil {
					return err
				}
			}
			return res.Print(cmd.OutOrStdout())
		}}
	c.Flags().StringVarP(&out, "out", "o", "", "file for the result as JSON, for lab report")
	return c
}

func reportCommand() *cobra.Command {
	var out string
	c := &cobra.Command{Use: "report RESULT.json...", Short: "Turns results of loads into one HTML page, side by side", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			results, err := loadgen.ReadResults(args)
			if err != nil {
				return err
			}
			f, err := os.Create(out)
			if err != nil {
				return err
			}
			return errors.Join(loadreport.Write(f, results), f.Close())
		}}
	c.Flags().StringVarP(&out, "out", "o", "report.html", "file to write")
	return c
}

func logsCommand() *cobra.Command {
	var id string
	var worst int
	c := &cobra.Command{Use: "logs DIR", Short: "Sums up by second what a fleet's coordinators wrote under 'serve -trace', one *.log each", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if id != "" {
				return logsummary.PrintQuery(cmd.OutOrStdout(), args[0], id)
			}
			s := logsummary.NewSummary()
			for _, each := range []func(logsummary.Line){s.ReadContext, s.Add} {
				if err := logsummary.ReadDir(args[0], each); err != nil {
					return err
				}
			}
			return s.Print(cmd.OutOrStdout(), worst)
		}}
	c.Flags().StringVar(&id, "id", "", "prints one request's path instead: its lines from all coordinators, in order of time")
	c.Flags().IntVar(&worst, "nodes", 20, "how many nodes to list, those that served the least part of their attempts first")
	return c
}

func upgradesCommand() *cobra.Command {
	u := faultcli.Upgrades{}
	c := &cobra.Command{Use: "upgrades", Short: "Has real processes of the program take over from each other under load, and says what became of the requests", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return u.Play(cmd.OutOrStdout()) }}
	c.Flags().StringVar(&u.Program, "program", "bin/harepass", "the built program")
	c.Flags().StringVar(&u.Settings, "settings", "deploy/settings.example.json", "file of the site's settings")
	c.Flags().IntVar(&u.Count, "count", 5, "how many upgrades")
	c.Flags().IntVar(&u.Clients, "clients", 12, "how many clients ask all the time")
	c.Flags().DurationVar(&u.Interval, "every", time.Second, "time between them")
	return c
}

func fleetCommand() *cobra.Command {
	p := faultcli.Scenario{}
	c := &cobra.Command{Use: "fleet SCENARIO.yaml", Short: "Plays a scenario of real processes, links that break and rules that hold, as the tests do; see internal/test/faultinjection/scenarios", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return p.Play(args[0], cmd.OutOrStdout()) }}
	c.Flags().StringVar(&p.Program, "program", "bin/harepass", "the built program")
	c.Flags().StringVar(&p.Settings, "settings", "deploy/settings.example.json", "file of the site's settings")
	c.Flags().StringVar(&p.TimelineFile, "timeline", "", "file for all that happened, in one order")
	return c
}

func soakCommand() *cobra.Command {
	s := faultcli.Soak{}
	c := &cobra.Command{Use: "soak", Short: "Plays fleets of real processes under troubles drawn from seeds; exits 1 where something broke", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return s.Play(cmd.OutOrStdout()) }}
	c.Flags().StringVar(&s.Program, "program", "bin/harepass", "the built program")
	c.Flags().StringVar(&s.Settings, "settings", "deploy/settings.example.json", "file of the site's settings")
	c.Flags().Uint64Var(&s.FirstSeed, "first", 1, "the first seed")
	c.Flags().IntVar(&s.Seeds, "seeds", 50, "how many seeds")
	c.Flags().IntVar(&s.Parallel, "at-once", 1, "how many fleets side by side")
	c.Flags().StringSliceVar(&s.Kinds, "only", nil, "kinds of steps to keep: discovery, hold, kill, link, node, reload, term")
	c.Flags().StringVar(&s.TimelineDir, "timelines", "", "folder for the timelines of seeds that broke something")
	return c
}

// coordinatorCommand returns the hidden command that package coordinatorproc starts as a separate process.
func coordinatorCommand() *cobra.Command {
	return &cobra.Command{Use: coordinatorproc.ServeCommand, Hidden: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return coordinatorproc.Serve(cmd.InOrStdin(), cmd.OutOrStdout())
		}}
}

// capacityHelperCommand returns the hidden command of the helper process of the capacity measurements.
func capacityHelperCommand() *cobra.Command {
	return &cobra.Command{Use: labcapacity.HelperCommand, Hidden: true, Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return capacity.RunHelper(args, cmd.InOrStdin(), cmd.OutOrStdout())
		}}
}

func capacityPageCommand() *cobra.Command {
	var page, runs string
	c := &cobra.Command{Use: "capacity-page", Short: "Makes the tables and plots of the capacity page anew from the runs beside it", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return capacity.RewriteFile(page, runs) }}
	c.Flags().StringVar(&page, "page", "docs/CAPACITY.md", "the page")
	c.Flags().StringVar(&runs, "runs", "docs/capacity", "folder of the runs")
	return c
}
