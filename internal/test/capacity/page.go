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

// The files of the page's runs, beside each other in one folder. Only the first one has to be there.
const (
	baselineFile = "baseline.json"
	currentFile  = "current.json"
	scaleFile    = "scale.json"
	earlierFile  = "scale-120-cells.json" // a fleet's run with 175 holders of a section, before mends that it asked for
)

// Results are the runs that the page is made from.
type Results struct {
	Baseline *Run
	Current  *Run   // nil where there is none yet
	Scale    *Scale // likewise
	Earlier  *Scale // shown, and its figures stand in no row
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
	if r.Scale, err = loadScaleIfThere(filepath.Join(folder, scaleFile)); err != nil {
		return r, err
	}
	r.Earlier, err = loadScaleIfThere(filepath.Join(folder, earlierFile))
	return r, err
}

func loadScaleIfThere(path string) (*Scale, error) {
	s, err := LoadScale(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return s, err
}

// pair is a row before and after the mechanism; either may be missing.
type pair struct{ before, now *Row }

// any is the row that says more.
func (p pair) any() *Row { return cmp.Or(p.now, p.before) }

// pairs are the rows of both trees, in order, those with a common key together.
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

// Regions are the generated parts of the page by name.
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

// slopesText is a table of all series of a run.
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

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// roleText is the table of one role.
func (r Results) roleText(role Role) string {
	var b strings.Builder
	fmt.Fprint(&b, "| situation | what | before | now | bound | before / bound | now / bound | basis | carried by |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	found := false
	for _, p := range r.pairs(Asked) {
		row := p.any()
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

// value words a row's figure.
func (r *Row) value() string {
	switch {
	case r == nil:
		return "-"
	case r.Basis == NotRun:
		return string(NotRun)
	}
	return quantity(r.Figure, r.Unit)
}

// quantity words a figure with its unit; shares of a core are in percent.
func quantity(x float64, unit string) string {
	switch {
	case math.IsInf(x, 1):
		return number(x)
	case unit == "of a core":
		return number(100*x) + "% of a core"
	}
	return number(x) + " " + unit
}

// ratio words a row's figure over its bound.
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

// basis words how the figures came about.
func (p pair) basis() string {
	row := p.any()
	text := string(row.Basis) + ": " + row.How
	if p.before != nil && p.now != nil && p.before.Basis != NotRun && p.before.How != p.now.How && p.before.Basis != Measured {
		text = "before: " + string(p.before.Basis) + ": " + p.before.How + "; now: " + text
	}
	return text
}

// mechanism words what carries a row.
func (p pair) mechanism() string {
	if p.before == nil || p.now == nil || p.before.Mechanism == p.now.Mechanism {
		return cmp.Or(p.any().Mechanism, "**none**")
	}
	return "before: " + cmp.Or(p.before.Mechanism, "**none**") + "; now: " + cmp.Or(p.now.Mechanism, "**none**")
}

// overText lists the rows over their bound, before and now.
func (r Results) overText(size Size) string {
	var b strings.Builder
	before, now := r.trees(size)
	fmt.Fprintf(&b, "Before (commit %s):\n\n%s", r.Baseline.Commit, overTable(before))
	if now != nil {
		fmt.Fprintf(&b, "\nNow (commit %s):\n\n%s", r.Current.Commit, overTable(now))
	}
	return b.String()
}

// twiceText lists the same for twice the size.
func (r Results) twiceText() string {
	twice := Asked.Twice()
	if r.Current == nil {
		return overTable(Rows(twice, r.Baseline, nil, false))
	}
	return overTable(Rows(twice, r.Current, nil, true))
}

// trees are the rows of both; now is nil without a run.
func (r Results) trees(size Size) (before, now []Row) {
	before = Rows(size, r.Baseline, nil, false)
	if r.Current != nil {
		now = Rows(size, r.Current, r.Scale, true)
	}
	return before, now
}

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

// choiceText names what is missing first: the rows without a mechanism that were furthest over their bound.
func (r Results) choiceText() string {
	var b strings.Builder
	for i, row := range missingFirst(Rows(Asked, r.Baseline, nil, false)) {
		over := "nothing bounds it"
		if !math.IsInf(row.Figure, 1) {
			over = fmt.Sprintf("%s, %s times the bound", quantity(row.Figure, row.Unit), number(row.Ratio()))
		}
		fmt.Fprintf(&b, "%d. %s, %s, %s: %s (%s).\n", i+1, row.Role, row.Situation, row.What, over, quantity(row.Most, row.Unit))
	}
	return b.String()
}

// missingFirst are the rows over their bound that nothing in the code carries, the largest ratio first.
func missingFirst(rows []Row) []Row {
	return slices.DeleteFunc(Over(rows), func(r Row) bool { return r.Mechanism != "" })
}

func sortByRatio(rows []Row) {
	slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(b.Ratio(), a.Ratio()) })
}

// The marks of a generated region.
const (
	regionBegin = "<!-- generated: %s -->\n"
	regionEnd   = "<!-- end of generated -->\n"
)

// Rewrite gives a page with its generated regions made anew. Each region has to stand there once.
func Rewrite(page string, regions map[string]string) (string, error) {
	for name, text := range regions {
		begin := fmt.Sprintf(regionBegin, name)
		head, rest, found := strings.Cut(page, begin)
		_, tail, ends := strings.Cut(rest, regionEnd)
		if !found || !ends || strings.Contains(tail, begin) {
			return "", fmt.Errorf("capacity: the page does not have the region %q once", name)
		}
		page = head + begin + "\n" + text + "\n" + regionEnd + tail
	}
	return page, nil
}

// RewriteFile makes the generated regions of a page anew from the runs of a folder, and draws the runs beside them.
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
