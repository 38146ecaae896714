// Package loadreport draws the results of loads as one HTML page, side by side.
package loadreport

import (
	"fmt"
	"html/template"
	"io"

	"gonum.org/v1/plot/plotter"

	"harepass/internal/test/loadgen"
)

var page = template.Must(template.New("report").Funcs(template.FuncMap{"share": func(x, of float64) string { return fmt.Sprintf("%.3f", x/max(of, 1e-9)) }}).Parse(`<!doctype html>
<meta charset="utf-8"><title>harepass load report</title>
<style>body{font:14px sans-serif;margin:2em}td,th{padding:2px 10px;text-align:right}th:first-child,td:first-child{text-align:left}
.row{display:flex;flex-wrap:wrap;gap:1em}</style>
<h1>Load report</h1>
<table><tr><th>run<th>class<th>asked<th>served<th>refused<th>failed<th>late<th>p50 ms<th>p99 ms<th>worth served</tr>
{{range $r := .Results}}{{range $name, $c := $r.Classes}}<tr><td>{{$r.Name}}<td>{{$name}}<td>{{$c.Arrived}}<td>{{$c.Served}}<td>{{$c.Rejected}}<td>{{$c.Failed}}<td>{{$c.Late}}
<td>{{printf "%.1f" (index $c.Percentiles "50")}}<td>{{printf "%.1f" (index $c.Percentiles "99")}}<td></tr>{{end}}
{{range $name, $t := $r.Tenants}}<tr><td>{{$r.Name}}<td>{{$name}}<td>{{$t.Arrived}}<td>{{$t.Served}}<td>{{$t.Rejected}}<td><td><td><td><td>{{share $t.EarnedWeight $t.OfferedWeight}}</tr>{{end}}
<tr><td>{{$r.Name}}<td>all<td><td><td><td><td><td><td><td>{{share $r.EarnedWeight $r.OfferedWeight}}</tr>{{end}}</table>
{{range .Plots}}<h2>{{.Title}}</h2><div class="row">{{range .Pictures}}{{.}}{{end}}</div>{{end}}
`))

type plotRow struct {
	Title    string
	Pictures []template.HTML // one for each result, or one for all
}

// Write writes one page on several results, those of a row side by side on one scale.
func Write(out io.Writer, results []*loadgen.Result) error {
	rows := []struct {
		title, unit string
		lines       func(*loadgen.Result) map[string]plotter.XYs
	}{
		{"Answers over time", "a second", answersOverTime},
		{"Refusals and retries over time", "a second", refusalsOverTime},
		{"Delay of the coordinator's loop, worst in each tenth", "ms", waitsOverTime},
		{"Latency by percentile", "ms", latencies},
	}
	data := struct {
		Results []*loadgen.Result
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
