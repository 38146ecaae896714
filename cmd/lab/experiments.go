package main

import (
	"harepass/internal/test/experiment"
	"harepass/internal/test/experiments/capacity"
	"harepass/internal/test/experiments/choices"
	"harepass/internal/test/experiments/handover"
	"harepass/internal/test/experiments/overload"
	"harepass/internal/test/experiments/twophase"
)

// experiments lists the experiments of 'lab run' in the order of its help. To add an experiment, add it here.
var experiments = []experiment.Experiment{
	twophase.Experiment,
	choices.Experiment,
	handover.Experiment,
	overload.Experiment,
	capacity.Experiment,
}
