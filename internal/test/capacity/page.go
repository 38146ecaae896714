package capacity

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// The files of the page's runs, all in one folder. Only baselineFile is required.
const (
	baselineFile = "baseline.json"
	currentFile  = "current.json"
	scaleFile    = "scale.json"
	earlierFile  = "scale-120-cells.json" // a scale run with 175 holders of a section, before the fixes that it led to
)

// Results holds the runs that the page is generated from.
type Results struct {
	Baseline *Run
	Current  *Run   // nil if there is none yet
	Scale    *Scale // nil if there is none yet
	Earlier  *Scale // only shown as a table; no row uses its figures
}

// LoadResults reads the runs of a folder.
func LoadResults(folder string) (r Results, err error) {
	if r.Baseline, err = Load(filepath.Join(folder, baselineFile)); err != nil {
		return r, err
	}
	if r.Current, err = Load(filepath.Join(folder, currentFile)); errors.Is(err, os.ErrNotExist) {
		r.Current, err = nil, nil
	}
	if err != nil {
		return r, err
	}
	if r.Scale, err = loadOptionalScale(filepath.Join(folder, scaleFile)); err != nil {
		return r, err
	}
	r.Earlier, err = loadOptionalScale(filepath.Join(folder, earlierFile))
	return r, err
}

// loadOptionalScale reads a scale run; it returns nil without an error if the file does not exist.
func loadOptionalScale(path string) (*Scale, error) {
	s, err := LoadScale(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return s, err
}

// pair is a row before and after the introduction of a mechanism; either may be nil.
type pair struct{ before, now *Row }

// latest returns the current row if there is one, else the earlier one.
func (p pair) latest() *Row { return cmp.Or(p.now, p.before) }

// pairs returns the rows of the baseline and the current run in order, and joins rows with the same key.
func (r Results) pairs(size Size) (list []pair) {
	byKey := map[string]int{}
	for _, row := range Rows(size, r.Baseline, nil, false) {
		byKey[row.Key] = len(list)
		list = append(list, pair{before: &row})
	}
	if r.Current == nil {
		return list
	}
	for _, row := range Rows(size, r.Current, r.Scale, true) {
		if i, known := byKey[row.Key]; known {
			list[i].now = &row
		} else {
			list = append(list, pair{now: &row})
		}
	}
	return list
}

// Regions returns the generated parts of the page by name.
func (r Results) Regions() map[string]string {
	regions := map[string]string{"tail": tailText(Asked), "over": r.overText(Asked), "choice": r.choiceText(), "scale": scaleText(r.Scale), "scale-earlier": scaleText(r.Earlier), "twice": r.twiceText(), "slopes-baseline": slopesText(r.Baseline),
		"slopes-current": "Not run yet.\n"}
	if r.Current != nil {
		regions["slopes-current"] = slopesText(r.Current)
	}
	for _, role := range []Role{ControlPath, DataPath, DataNode, Source, Relays, Operators} {
		regions["rows-"+string(role)] = r.roleText(role)
	}
	return regions
}

// slopesText returns a table of all series of a run.
func slopesText(r *Run) string {
	var b strings.Builder
	fmt.Fprintf(&b, "`%s`, commit %s, %s, %d cores, %s s.\n\n", r.Command, r.Commit, r.Go, r.Cores, number(r.Seconds))
	fmt.Fprintf(&b, "| series | what | at: median | spread | exponent | slope, by %s | form, residual (bound) |\n| --- | --- | --- | --- | --- | --- | --- |\n", "its variable")
	for _, s := range r.Series {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%s: %s", number(p.X), number(p.Median)))
		}
		f := s.Fit
		fmt.Fprintf(&b, "| `%s` | %s; %s by %s | %s | %.2f | %.2f +- %.2f | %.3g +- %.1g | %s, %.2f (%.2f) |\n", s.Name, s.Title, s.Unit, s.Variable,
			strings.Join(points, ", "), s.Spread(), f.Exponent, f.ExponentError, f.Slope, f.SlopeError, s.Form, f.Residual, s.Residual)
	}
	if len(r.Bounds) > 0 {
		fmt.Fprintf(&b, "\n| bound | figure | most | stated as held | met |\n| --- | --- | --- | --- | --- |\n")
		for _, o := range r.Bounds {
			fmt.Fprintf(&b, "| %s | %s %s | %s | %s | %s |\n", o.Name, number(o.Figure), o.Unit, number(o.Most), yes(o.Stated), yes(o.Met()))
		}
	}
	return b.String()
}

// yes formats a truth value for a table.
func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// roleText returns the table of one role.
func (r Results) roleText(role Role) string {
	var b strings.Builder
	fmt.Fprint(&b, "| situation | what | before | now | bound | before / bound | now / bound | basis | carried by |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	found := false
	for _, p := range r.pairs(Asked) {
		row := p.latest()
		if row.Role != role {
			continue
		}
		found = true
		bound := "-"
		if row.Most > 0 {
			bound = quantity(row.Most, row.Unit)
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", row.Situation, row.What, p.before.value(), p.now.value(), bound,
			p.before.ratio(), p.now.ratio(), p.basis(), p.mechanism())
	}
	if !found {
		return "Not run yet.\n"
	}
	return b.String()
}

// value formats a row's figure.
func (r *Row) value() string {
	switch {
	case r == nil:
		return "-"
	case r.Basis == NotRun:
		return string(NotRun)
	}
	return quantity(r.Figure, r.Unit)
}

// quantity formats a figure with its unit; shares of a core are in percent.
func quantity(x float64, unit string) string {
	switch {
	case math.IsInf(x, 1):
		return number(x)
	case unit == "of a core":
		return number(100*x) + "% of a core"
	}
	return number(x) + " " + unit
}

// ratio formats the ratio of a row's figure to its bound.
func (r *Row) ratio() string {
	switch {
	case r == nil || r.Ratio() == 0:
		return "-"
	case math.IsInf(r.Ratio(), 1):
		return "**unbounded**"
	case r.Ratio() > 1:
		return "**" + number(r.Ratio()) + "**"
	}
	return number(r.Ratio())
}

// basis formats the origin of the figures.
func (p pair) basis() string {
	row := p.latest()
	text := string(row.Basis) + ": " + row.How
	if p.before != nil && p.now != nil && p.before.Basis != NotRun && p.before.How != p.now.How && p.before.Basis != Measured {
		text = "before: " + string(p.before.Basis) + ": " + p.before.How + "; now: " + text
	}
	return text
}

// mechanism formats the mechanism of a row, before and now if they differ.
func (p pair) mechanism() string {
	if p.before == nil || p.now == nil || p.before.Mechanism == p.now.Mechanism {
		return cmp.Or(p.latest().Mechanism, "**none**")
	}
	return "before: " + cmp.Or(p.before.Mechanism, "**none**") + "; now: " + cmp.Or(p.now.Mechanism, "**none**")
}

// overText lists the rows that exceed their bound, before and now.
func (r Results) overText(size Size) string {
	var b strings.Builder
	before, now := r.rowsBeforeAndNow(size)
	fmt.Fprintf(&b, "Before (commit %s):\n\n%s", r.Baseline.Commit, overTable(before))
	if now != nil {
		fmt.Fprintf(&b, "\nNow (commit %s):\n\n%s", r.Current.Commit, overTable(now))
	}
	return b.String()
}

// twiceText lists the rows that exceed their bound at twice the size of Asked, from the current run or else the
// baseline. It omits the rows of the scale run, which count as not run.
func (r Results) twiceText() string {
	twice := Asked.Twice()
	if r.Current == nil {
		return overTable(Rows(twice, r.Baseline, nil, false))
	}
	return overTable(Rows(twice, r.Current, nil, true))
}

// rowsBeforeAndNow returns the rows of the baseline and of the current run; now is nil without a current run.
func (r Results) rowsBeforeAndNow(size Size) (before, now []Row) {
	before = Rows(size, r.Baseline, nil, false)
	if r.Current != nil {
		now = Rows(size, r.Current, r.Scale, true)
	}
	return before, now
}

// overTable returns a table of the rows that exceed their bound, or a sentence if there are none.
func overTable(rows []Row) string {
	over := Over(rows)
	if len(over) == 0 {
		return "No row is over its bound.\n"
	}
	var b strings.Builder
	fmt.Fprint(&b, "| over the bound | role | situation | what | figure | bound | basis | carried by |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, row := range over {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s |\n", number(row.Ratio()), row.Role, row.Situation, row.What, quantity(row.Figure, row.Unit), quantity(row.Most, row.Unit),
			row.Basis, cmp.Or(row.Mechanism, "**none**"))
	}
	return b.String()
}

// choiceText returns the region "choice": a numbered list of the baseline's rowsWithoutMechanism.
func (r Results) choiceText() string {
	var b strings.Builder
	for i, row := range rowsWithoutMechanism(Rows(Asked, r.Baseline, nil, false)) {
		over := "nothing bounds it"
		if !math.IsInf(row.Figure, 1) {
			over = fmt.Sprintf("%s, %s times the bound", quantity(row.Figure, row.Unit), number(row.Ratio()))
		}
		fmt.Fprintf(&b, "%d. %s, %s, %s: %s (%s).\n", i+1, row.Role, row.Situation, row.What, over, quantity(row.Most, row.Unit))
	}
	return b.String()
}

// rowsWithoutMechanism returns the rows that exceed their bound and have no mechanism in the code, the largest ratio
// first.
func rowsWithoutMechanism(rows []Row) []Row {
	return slices.DeleteFunc(Over(rows), func(r Row) bool { return r.Mechanism != "" })
}

// sortByRatio sorts rows by the ratio of their figure to their bound, the largest first.
func sortByRatio(rows []Row) {
	slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(b.Ratio(), a.Ratio()) })
}

// The markers of a generated region.
const (
	regionBegin = "<!-- generated: %s -->\n"
	regionEnd   = "<!-- end of generated -->\n"
)

// Rewrite returns the page with its generated regions replaced. The page must contain each region exactly once.
func Rewrite(page string, regions map[string]string) (string, error) {
	for name, text := range regions {
		begin := fmt.Sprintf(regionBegin, name)
		head, rest, found := strings.Cut(page, begin)
		_, tail, ends := strings.Cut(rest, regionEnd)
		if !found || !ends || strings.Contains(tail, begin) {
			return "", fmt.Errorf("capacity: page must contain the generated region %q exactly once", name)
		}
		page = head + begin + "\n" + text + "\n" + regionEnd + tail
	}
	return page, nil
}

// RewriteFile regenerates the regions of a page from the runs in a folder, and plots each run as a PNG file in that
// folder.
func RewriteFile(path, folder string) error {
	results, err := LoadResults(folder)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	text, err := Rewrite(string(page), results.Regions())
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return err
	}
	for _, drawn := range []struct {
		run  *Run
		file string
	}{{results.Baseline, baselineFile}, {results.Current, currentFile}} {
		if drawn.run == nil {
			continue
		}
		if err := Plot(drawn.run, filepath.Join(folder, strings.TrimSuffix(drawn.file, ".json")+".png")); err != nil {
			return err
		}
	}
	return nil
}
