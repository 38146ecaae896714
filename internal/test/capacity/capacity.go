// Package capacity measures how the costs of harepass grow with its fleet, fits a curve to each cost, and generates the
// tables of docs/CAPACITY.md from the results. It measures processor costs as CPU time of this process (getrusage),
// never as wall-clock time, because other load on the machine affects CPU time least. It is for tests and the
// laboratory only.
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

// Point is the measurement at one size.
type Point struct {
	X       float64 `json:"x"`
	Median  float64 `json:"median"` // of the repeats
	Low     float64 `json:"low"`
	High    float64 `json:"high"`
	Repeats int     `json:"repeats"`
	Count   int     `json:"count"` // operations, sum over all repeats
}

// Form is the kind of curve that a series is expected to follow.
type Form string

// The forms of a series.
const (
	Power  Form = "power"  // y = c x^k
	Linear Form = "linear" // y = a + b x
)

// Series holds one cost as a function of one variable.
type Series struct {
	Name     string  `json:"name"`
	Title    string  `json:"title"`
	Variable string  `json:"variable"`
	Unit     string  `json:"unit"`
	Form     Form    `json:"form"`
	Residual float64 `json:"residual_bound"` // upper bound of the fit's residual
	Points   []Point `json:"points"`
	Fit      Fit     `json:"fit"`
}

// At returns the cost at size x. At a measured size it is the median. Any other cost is derived: below the largest
// measured size it is the fit's value; above, it extends the median at the largest size by the fit's exponent or slope.
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

// Spread returns the largest relative spread of a point: the range of its repeats divided by their median.
func (s Series) Spread() (spread float64) {
	for _, p := range s.Points {
		if p.Median > 0 {
			spread = max(spread, (p.High-p.Low)/p.Median)
		}
	}
	return spread
}

// Bound is a figure together with its upper bound.
type Bound struct {
	Name   string  `json:"name"`
	Figure float64 `json:"figure"`
	Most   float64 `json:"most"`
	Unit   string  `json:"unit"`
	Stated bool    `json:"stated"` // stated as held: a run that exceeds the bound fails
}

// Met reports whether the figure is within its bound.
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

// Find returns the series with the given name, or nil if the run has none.
func (r *Run) Find(name string) *Series {
	i := slices.IndexFunc(r.Series, func(s Series) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return &r.Series[i]
}

// Missed describes each fit whose residual exceeds its bound, and each bound that is stated as held and exceeded.
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

// Load reads a run from a JSON file.
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

// Write writes the run to a JSON file.
func (r *Run) Write(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

// describe records the command, Go version, number of cores and commit of a run.
func (r *Run) describe() {
	r.Command, r.Go, r.Cores, r.Commit = "bin/lab run capacity", runtime.Version(), runtime.NumCPU(), commit()
}

// commit returns the commit checked out in the working directory, or "unknown" if git reports none.
func commit() string {
	out, err := exec.Command("git", "describe", "--always", "--dirty", "--abbrev=10", "--exclude=*").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}

// round rounds to four significant digits; repeats agree in fewer.
func round(x float64) float64 {
	if x == 0 || math.IsInf(x, 0) || math.IsNaN(x) {
		return x
	}
	unit := math.Pow(10, 3-math.Floor(math.Log10(math.Abs(x))))
	return math.Round(x*unit) / unit
}
