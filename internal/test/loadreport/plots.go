package loadreport

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"maps"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"harepass/internal/test/loadgen"
)

// slicesPerSecond is how many loadgen.Slices there are in a second.
const slicesPerSecond = 10

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	lineWidth  = 1.5 // points
	headroom   = 1.05
)

// palette has the colours of the lines of one plot, in order of their names.
var palette = []color.Color{
	color.RGBA{31, 119, 180, 255}, color.RGBA{214, 39, 40, 255},
	color.RGBA{44, 160, 44, 255}, color.RGBA{148, 103, 189, 255},
}

// lines are the lines of a plot, by the name that the legend gives them.
type lines map[string]plotter.XYs

// linePlot draws lines as SVG for an HTML page. The vertical axis reaches from 0 to a little above top.
func linePlot(title, unit string, top float64, drawn lines) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, unit
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, name := range slices.Sorted(maps.Keys(drawn)) {
		if len(drawn[name]) == 0 {
			continue
		}
		line, err := plotter.NewLine(drawn[name])
		if err != nil {
			return "", fmt.Errorf("loadreport: line %q of %q: %w", name, title, err)
		}
		line.Color, line.Width = palette[i%len(palette)], vg.Points(lineWidth)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	p.Y.Min, p.Y.Max = 0, max(top*headroom, 1e-9) // after the lines, each of which widens the axis
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	_, svg, _ := strings.Cut(b.String(), "<svg") // HTML does not allow the XML declaration before it
	return template.HTML("<svg" + svg), nil
}

// overTime returns lines of counts a second over the seconds of a run.
func overTime(r *loadgen.Result, counts map[string]func(loadgen.Slice) int) lines {
	drawn := lines{}
	for name, count := range counts {
		for i, s := range r.Slices {
			drawn[name] = append(drawn[name], plotter.XY{
				X: float64(i) / slicesPerSecond, Y: slicesPerSecond * float64(count(s)),
			})
		}
	}
	return drawn
}

func answersOverTime(r *loadgen.Result) lines {
	return overTime(r, map[string]func(loadgen.Slice) int{
		"asked":  func(s loadgen.Slice) int { return s.Arrived },
		"served": func(s loadgen.Slice) int { return s.Served },
		"late":   func(s loadgen.Slice) int { return s.Late },
	})
}

func rejectionsOverTime(r *loadgen.Result) lines {
	return overTime(r, map[string]func(loadgen.Slice) int{
		"tries":   func(s loadgen.Slice) int { return s.Attempts },
		"refused": func(s loadgen.Slice) int { return s.Rejected },
	})
}

// waitsOverTime returns the waits for the coordinator's loop; nil if the result has none.
func waitsOverTime(r *loadgen.Result) lines {
	if len(r.Waits) == 0 {
		return nil
	}
	var line plotter.XYs
	for _, w := range r.Waits {
		line = append(line, plotter.XY{X: w.At, Y: w.Value})
	}
	return lines{"worst wait": line}
}

// latencies returns a line for each class. Its horizontal axis is the index of the percentile.
func latencies(r *loadgen.Result) lines {
	drawn := lines{}
	for name, c := range r.Classes {
		for i, percentile := range []string{"50", "90", "99", "99.9"} {
			drawn[name] = append(drawn[name], plotter.XY{X: float64(i), Y: c.Percentiles[percentile]})
		}
	}
	return drawn
}
