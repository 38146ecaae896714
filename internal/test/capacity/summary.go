package capacity

import "fmt"

// Summary returns a row for each series, with the measurement at its largest size and the fit.
func (r *Run) Summary() (rows [][]any) {
	for _, s := range r.Series {
		p, f := s.Points[len(s.Points)-1], s.Fit
		rows = append(rows, []any{s.Name, s.Variable, s.Unit, p.X, p.Median, fmt.Sprintf("%.2f", s.Spread()),
			fmt.Sprintf("%.2f", f.Exponent), fmt.Sprintf("%.2f", f.ExponentError), fmt.Sprintf("%.3g", f.Slope), fmt.Sprintf("%.1g", f.SlopeError),
			fmt.Sprintf("%.2f", f.Residual)})
	}
	return rows
}
