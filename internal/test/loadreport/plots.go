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

// slicesPerSecond is the number of loadgen.Slices per second.
const slicesPerSecond = 10

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	lineWidth  = 1.5  // points
	headroom   = 1.05 // top of the vertical axis, as a multiple of the greatest value
)

// palette holds the colours of a plot's lines, which are assigned in order of the lines' names.
var palette = []color.Color{
	color.RGBA{31, 119, 180, 255}, color.RGBA{214, 39, 40, 255},
	color.RGBA{44, 160, 44, 255}, color.RGBA{148, 103, 189, 255},
}

// lines holds the lines of a plot by their names in the legend.
type lines map[string]plotter.XYs

// linePlot draws lines as SVG for an HTML page. The vertical axis ranges from 0 to a little above top.
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
			return "", fmt.Errorf("loadreport: cannot draw line %q of plot %q: %w", name, title, err)
		}
		line.Color, line.Width = palette[i%len(palette)], vg.Points(lineWidth)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	p.Y.Min, p.Y.Max = 0, max(top*headroom, 1e-9) // set after adding the lines, because each of them widens the axis
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	_, svg, _ := strings.Cut(b.String(), "<svg") // drops the XML declaration, which HTML does not allow
	return template.HTML("<svg" + svg), nil
}

// overTime returns lines of counts per second over the duration of a run.
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

// waitsOverTime returns the waits for the coordinator's loop, or nil if the result has none.
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

// latencies returns a line of latency percentiles for each class. The horizontal axis is the index of the percentile.
func latencies(r *loadgen.Result) lines {
	drawn := lines{}
	for name, c := range r.Classes {
		for i, percentile := range []string{"50", "90", "99", "99.9"} {
			drawn[name] = append(drawn[name], plotter.XY{X: float64(i), Y: c.Percentiles[percentile]})
		}
	}
	return drawn
}
