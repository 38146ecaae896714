package main

import (
	"harepass/internal/lab"
	"harepass/internal/lab/experiments/choices"
	"harepass/internal/lab/experiments/handover"
)

// experiments are those that 'lab run' offers, in the order of its help; a new one is a line here.
var experiments = []lab.Experiment{
	lab.TwoPhaseExperiment,
	choices.Experiment,
	handover.Experiment,
	lab.OverloadExperiment,
}
