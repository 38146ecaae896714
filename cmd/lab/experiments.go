package main

import (
	"harepass/internal/lab"
	"harepass/internal/lab/experiments/capacity"
	"harepass/internal/lab/experiments/choices"
	"harepass/internal/lab/experiments/handover"
	"harepass/internal/lab/experiments/overload"
	"harepass/internal/lab/experiments/twophase"
)

// experiments are those that 'lab run' offers, in the order of its help; a new one is a line here.
var experiments = []lab.Experiment{
	twophase.Experiment,
	choices.Experiment,
	handover.Experiment,
	overload.Experiment,
	capacity.Experiment,
}
