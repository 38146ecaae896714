// Package loadreport renders the results of several loadgen runs side by side as one HTML page.
package loadreport

import (
	_ "embed" // page.html
	"fmt"
	"html/template"
	"io"

	"harepass/internal/test/loadgen"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("report").Funcs(template.FuncMap{"share": formatShare}).Parse(pageText))

// formatShare formats x as a share of a total, which may be 0.
func formatShare(x, total float64) string { return fmt.Sprintf("%.3f", x/max(total, 1e-9)) }

// pageData is the data of the page. page.html uses its field names.
type pageData struct {
	Results []*loadgen.Result
	Plots   []plotRow
}

// plotRow is a row of plots with the same scale, one for each result.
type plotRow struct {
	Title    string
	Pictures []template.HTML
}

// plotKind describes what the plots of a row show.
type plotKind struct {
	title, unit string
	lines       func(*loadgen.Result) lines
}

var plotKinds = []plotKind{
	{"Answers over time", "a second", answersOverTime},
	{"Refusals and retries over time", "a second", rejectionsOverTime},
	{"Delay of the coordinator's loop, worst in each tenth", "ms", waitsOverTime},
	{"Latency by percentile", "ms", latencies},
}

// Write writes one HTML page about several results. It omits rows for which no result has values.
func Write(out io.Writer, results []*loadgen.Result) error {
	data := pageData{Results: results}
	for _, kind := range plotKinds {
		top, hasValues := kind.greatest(results)
		if !hasValues {
			continue
		}
		row, err := kind.draw(results, top)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, row)
	}
	return page.Execute(out, data)
}

// greatest returns the greatest value in all results, at least 0, and whether there is any value.
func (k plotKind) greatest(results []*loadgen.Result) (top float64, hasValues bool) {
	for _, r := range results {
		for _, line := range k.lines(r) {
			for _, p := range line {
				top, hasValues = max(top, p.Y), true
			}
		}
	}
	return top, hasValues
}

// draw draws one plot for each result. All plots have the same vertical axis, which covers top.
func (k plotKind) draw(results []*loadgen.Result, top float64) (plotRow, error) {
	row := plotRow{Title: k.title}
	for _, r := range results {
		picture, err := linePlot(r.Name, k.unit, top, k.lines(r))
		if err != nil {
			return plotRow{}, err
		}
		row.Pictures = append(row.Pictures, picture)
	}
	return row, nil
}
