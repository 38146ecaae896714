package loadreport

import (
	"bytes"
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

var palette = []color.Color{color.RGBA{31, 119, 180, 255}, color.RGBA{214, 39, 40, 255}, color.RGBA{44, 160, 44, 255}, color.RGBA{148, 103, 189, 255}}

func linePlot(title, unit string, top float64, lines map[string]plotter.XYs) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, unit
	p.Y.Min, p.Y.Max = 0, max(top*1.05, 1e-9)
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, name := range slices.Sorted(maps.Keys(lines)) {
		if len(lines[name]) == 0 {
			continue
		}
		line, err := plotter.NewLine(lines[name])
		if err != nil {
			return "", err
		}
		line.Color, line.Width = palette[i%len(palette)], vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	p.Y.Min, p.Y.Max = 0, max(top*1.05, 1e-9)
	c := vgsvg.New(14*vg.Centimeter, 8*vg.Centimeter)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	_, svg, _ := strings.Cut(b.String(), "<svg") // without the XML head, which HTML does not take
	return template.HTML("<svg" + svg), nil
}

func overTime(r *loadgen.Result, of map[string]func(loadgen.Slice) int) map[string]plotter.XYs {
	lines := map[string]plotter.XYs{}
	for name, value := range of {
		for i, s := range r.Slices {
			lines[name] = append(lines[name], plotter.XY{X: float64(i) / 10, Y: 10 * float64(value(s))})
		}
	}
	return lines
}

func answersOverTime(r *loadgen.Result) map[string]plotter.XYs {
	return overTime(r, map[string]func(loadgen.Slice) int{"asked": func(s loadgen.Slice) int { return s.Arrived }, "served": func(s loadgen.Slice) int { return s.Served },
		"late": func(s loadgen.Slice) int { return s.Late }})
}

func refusalsOverTime(r *loadgen.Result) map[string]plotter.XYs {
	return overTime(r, map[string]func(loadgen.Slice) int{"tries": func(s loadgen.Slice) int { return s.Attempts }, "refused": func(s loadgen.Slice) int { return s.Rejected }})
}

func waitsOverTime(r *loadgen.Result) map[string]plotter.XYs {
	if len(r.Waits) == 0 {
		return nil
	}
	var line plotter.XYs
	for _, w := range r.Waits {
		line = append(line, plotter.XY{X: w.At, Y: w.Value})
	}
	return map[string]plotter.XYs{"worst wait": line}
}

func latencies(r *loadgen.Result) map[string]plotter.XYs {
	lines := map[string]plotter.XYs{}
	for name, c := range r.Classes {
		for i, q := range []string{"50", "90", "99", "99.9"} {
			lines[name] = append(lines[name], plotter.XY{X: float64(i), Y: c.Percentiles[q]})
		}
	}
	return lines
}
