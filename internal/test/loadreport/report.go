// Package loadreport draws the results of several runs of loadgen as one HTML page, side by side.
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

// formatShare words x as a share of a total, also of a total of 0.
func formatShare(x, total float64) string { return fmt.Sprintf("%.3f", x/max(total, 1e-9)) }

// pageData is what the page shows. Its field names are those that page.html uses.
type pageData struct {
	Results []*loadgen.Result
	Plots   []plotRow
}

// plotRow is a row of plots on one scale, one for each result.
type plotRow struct {
	Title    string
	Pictures []template.HTML
}

// plotKind is what the plots of a row show.
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

// Write writes one HTML page on several results. Rows that no result has values for are left out.
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

// greatest returns the greatest value of all results, and whether there is any value. It is never below 0.
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

// draw draws one plot for each result, all with a vertical axis up to top.
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
