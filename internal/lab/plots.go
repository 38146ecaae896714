package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// LoadResults reads the results of loads from JSON files; one without a name has its file's.
func LoadResults(paths []string) (list []*LoadResult, err error) {
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		r := &LoadResult{}
		if err := json.Unmarshal(data, r); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		if r.Name == "" {
			r.Name = strings.TrimSuffix(filepath.Base(path), ".json")
		}
		list = append(list, r)
	}
	return list, nil
}

var page = template.Must(template.New("report").Funcs(template.FuncMap{"share": func(x, of float64) string { return fmt.Sprintf("%.3f", x/max(of, 1e-9)) }}).Parse(`<!doctype html>
<meta charset="utf-8"><title>harepass load report</title>
<style>body{font:14px sans-serif;margin:2em}td,th{padding:2px 10px;text-align:right}th:first-child,td:first-child{text-align:left}
.row{display:flex;flex-wrap:wrap;gap:1em}</style>
<h1>Load report</h1>
<table><tr><th>run<th>class<th>asked<th>served<th>refused<th>failed<th>late<th>p50 ms<th>p99 ms<th>worth served</tr>
{{range $r := .Results}}{{range $name, $c := $r.Classes}}<tr><td>{{$r.Name}}<td>{{$name}}<td>{{$c.Asked}}<td>{{$c.Served}}<td>{{$c.Refused}}<td>{{$c.Failed}}<td>{{$c.Late}}
<td>{{printf "%.1f" (index $c.Percentiles "50")}}<td>{{printf "%.1f" (index $c.Percentiles "99")}}<td></tr>{{end}}
{{range $name, $t := $r.Tenants}}<tr><td>{{$r.Name}}<td>{{$name}}<td>{{$t.Asked}}<td>{{$t.Served}}<td>{{$t.Refused}}<td><td><td><td><td>{{share $t.Worth $t.Most}}</tr>{{end}}
<tr><td>{{$r.Name}}<td>all<td><td><td><td><td><td><td><td>{{share $r.Worth $r.Most}}</tr>{{end}}</table>
{{range .Plots}}<h2>{{.Title}}</h2><div class="row">{{range .Pictures}}{{.}}{{end}}</div>{{end}}
`))

type plotRow struct {
	Title    string
	Pictures []template.HTML // one for each result, or one for all
}

// WriteReport writes one page on several results, those of a row side by side on one scale.
func WriteReport(out io.Writer, results []*LoadResult) error {
	rows := []struct {
		title, unit string
		lines       func(*LoadResult) map[string]plotter.XYs
	}{
		{"Answers over time", "a second", answersOverTime},
		{"Refusals and retries over time", "a second", refusalsOverTime},
		{"Delay of the coordinator's loop, worst in each tenth", "ms", waitsOverTime},
		{"Latency by percentile", "ms", latencies},
	}
	data := struct {
		Results []*LoadResult
		Plots   []plotRow
	}{Results: results}
	for _, row := range rows {
		top, drawn := 0.0, false
		for _, r := range results {
			for _, line := range row.lines(r) {
				for _, p := range line {
					top, drawn = max(top, p.Y), true
				}
			}
		}
		if !drawn {
			continue
		}
		pr := plotRow{Title: row.title}
		for _, r := range results {
			picture, err := linePlot(r.Name, row.unit, top, row.lines(r))
			if err != nil {
				return err
			}
			pr.Pictures = append(pr.Pictures, picture)
		}
		data.Plots = append(data.Plots, pr)
	}
	return page.Execute(out, data)
}

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

func overTime(r *LoadResult, of map[string]func(Slice) int) map[string]plotter.XYs {
	lines := map[string]plotter.XYs{}
	for name, value := range of {
		for i, s := range r.Slices {
			lines[name] = append(lines[name], plotter.XY{X: float64(i) / 10, Y: 10 * float64(value(s))})
		}
	}
	return lines
}

func answersOverTime(r *LoadResult) map[string]plotter.XYs {
	return overTime(r, map[string]func(Slice) int{"asked": func(s Slice) int { return s.Asked }, "served": func(s Slice) int { return s.Served },
		"late": func(s Slice) int { return s.Late }})
}

func refusalsOverTime(r *LoadResult) map[string]plotter.XYs {
	return overTime(r, map[string]func(Slice) int{"tries": func(s Slice) int { return s.Tries }, "refused": func(s Slice) int { return s.Refused }})
}

func waitsOverTime(r *LoadResult) map[string]plotter.XYs {
	if len(r.Waits) == 0 {
		return nil
	}
	var line plotter.XYs
	for _, w := range r.Waits {
		line = append(line, plotter.XY{X: w.At, Y: w.Value})
	}
	return map[string]plotter.XYs{"worst wait": line}
}

func latencies(r *LoadResult) map[string]plotter.XYs {
	lines := map[string]plotter.XYs{}
	for name, c := range r.Classes {
		for i, q := range []string{"50", "90", "99", "99.9"} {
			lines[name] = append(lines[name], plotter.XY{X: float64(i), Y: c.Percentiles[q]})
		}
	}
	return lines
}
