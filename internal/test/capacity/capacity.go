// Package capacity measures what harepass costs as its fleet grows, fits how each cost grows, and writes the tables of
// the page docs/CAPACITY.md from the results. Costs of the processor are CPU time of this process (getrusage), never time on
// the clock, so that a busy machine changes them as little as possible. For tests and the laboratory only.
package capacity

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strings"
)

// Point is what was measured at one size.
type Point struct {
	X       float64 `json:"x"`
	Median  float64 `json:"median"` // of the repeats
	Low     float64 `json:"low"`
	High    float64 `json:"high"`
	Repeats int     `json:"repeats"`
	Count   int     `json:"count"` // operations in all repeats together
}

// Form is the curve that a series is taken to follow.
type Form string

// The forms.
const (
	Power  Form = "power"  // y = c x^k
	Linear Form = "linear" // y = a + b x
)

// Series is one cost by one variable.
type Series struct {
	Name     string  `json:"name"`
	Title    string  `json:"title"`
	Variable string  `json:"variable"`
	Unit     string  `json:"unit"`
	Form     Form    `json:"form"`
	Residual float64 `json:"residual_bound"` // the most that the fit's residual may be
	Points   []Point `json:"points"`
	Fit      Fit     `json:"fit"`
}

// At is the cost at a size: the median where it was measured, else a derived one. That is the fit's between the sizes that were
// measured; beyond the largest, it goes on from the median there with the fit's exponent or slope.
func (s Series) At(x float64) (y float64, derived bool) {
	for _, p := range s.Points {
		if p.X == x {
			return p.Median, false
		}
	}
	largest := s.Points[len(s.Points)-1]
	switch {
	case x < largest.X:
		return s.Fit.at(s.Form, x), true
	case s.Form == Linear:
		return largest.Median + s.Fit.Slope*(x-largest.X), true
	}
	return largest.Median * math.Pow(x/largest.X, s.Fit.Exponent), true
}

// Spread is the widest range of one point's repeats, over its median.
func (s Series) Spread() (spread float64) {
	for _, p := range s.Points {
		if p.Median > 0 {
			spread = max(spread, (p.High-p.Low)/p.Median)
		}
	}
	return spread
}

// Bound is a figure beside what it may be.
type Bound struct {
	Name   string  `json:"name"`
	Figure float64 `json:"figure"`
	Most   float64 `json:"most"`
	Unit   string  `json:"unit"`
	Stated bool    `json:"stated"` // as held: a run that misses it fails
}

// Met tells whether the figure is within its bound.
func (b Bound) Met() bool { return b.Figure <= b.Most }

// Run is the result of one run of the experiment.
type Run struct {
	Commit  string   `json:"commit"`
	Command string   `json:"command"`
	Go      string   `json:"go"`
	Cores   int      `json:"cores"`
	Seconds float64  `json:"seconds"`
	Series  []Series `json:"series"`
	Bounds  []Bound  `json:"bounds"`
}

// Find is the series of a name; nil if the run has none.
func (r *Run) Find(name string) *Series {
	i := slices.IndexFunc(r.Series, func(s Series) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return &r.Series[i]
}

// Missed names the fits whose residual is over its bound, and the bounds stated as held that are not.
func (r *Run) Missed() (missed []string) {
	for _, s := range r.Series {
		if !(s.Fit.Residual <= s.Residual) {
			missed = append(missed, fmt.Sprintf("%s: the fit's residual is %.2f, %.2f at most", s.Name, s.Fit.Residual, s.Residual))
		}
	}
	for _, b := range r.Bounds {
		if b.Stated && !b.Met() {
			missed = append(missed, fmt.Sprintf("%s: %.3g %s, %.3g at most", b.Name, b.Figure, b.Unit, b.Most))
		}
	}
	return missed
}

// Load reads a run's file.
func Load(path string) (*Run, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &Run{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// Write writes a run's file.
func (r *Run) Write(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

// describe notes what was run, and on what.
func (r *Run) describe() {
	r.Command, r.Go, r.Cores, r.Commit = "bin/lab run capacity", runtime.Version(), runtime.NumCPU(), commit()
}

// commit is the one that is checked out where the program runs, as far as git tells.
func commit() string {
	out, err := exec.Command("git", "describe", "--always", "--dirty", "--abbrev=10", "--exclude=*").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}

// round keeps four digits, which is more than a repeat gives again.
func round(x float64) float64 {
	if x == 0 || math.IsInf(x, 0) || math.IsNaN(x) {
		return x
	}
	unit := math.Pow(10, 3-math.Floor(math.Log10(math.Abs(x))))
	return math.Round(x*unit) / unit
}
