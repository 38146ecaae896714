package capacity

import (
	"os"
	"strings"
	"testing"
)

const (
	pageFile  = "../../../docs/CAPACITY.md"
	runFolder = "../../../docs/capacity"
)

// The tables of the page match its runs. After a change of a table or a run the page must be regenerated.
func TestPageIsMadeFromItsRuns(t *testing.T) {
	results, err := LoadResults(runFolder)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	text, err := Rewrite(string(page), results.Regions())
	if err != nil {
		t.Fatal(err)
	}
	if text != string(page) {
		t.Error("the page differs from its runs; run bin/lab capacity-page to regenerate it")
	}
	if begun, known := strings.Count(text, "<!-- generated: "), len(results.Regions()); begun != known {
		t.Errorf("page has %d generated regions, Regions returns %d", begun, known)
	}
}

// The runs of the page keep all bounds that they state as held.
func TestRunsHoldWhatTheyState(t *testing.T) {
	results, err := LoadResults(runFolder)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range []*Run{results.Baseline, results.Current} {
		if r != nil && len(r.Missed()) > 0 {
			t.Errorf("run of commit %s exceeds its bounds: %v", r.Commit, r.Missed())
		}
	}
}

// Over sorts rows by their ratio, so that rows with an unbounded figure come first, and returns only rows over their
// bound.
func TestOverIsSortedByRatio(t *testing.T) {
	results, err := LoadResults(runFolder)
	if err != nil {
		t.Fatal(err)
	}
	over := Over(Rows(Asked, results.Baseline, nil, false))
	for i, r := range over {
		if r.Ratio() <= 1 || i > 0 && r.Ratio() > over[i-1].Ratio() {
			t.Errorf("row %d, %s, has ratio %g: want more than 1 and at most that of the row before", i, r.Key, r.Ratio())
		}
	}
}

// Rewrite fails for a page that lacks a region, contains it twice or does not end it.
func TestRewriteWantsEachRegionOnce(t *testing.T) {
	const region = "<!-- generated: a -->\nold\n<!-- end of generated -->\n"
	made := map[string]string{"a": "new\n"}
	text, err := Rewrite("head\n"+region+"tail\n", made)
	if want := "head\n<!-- generated: a -->\n\nnew\n\n<!-- end of generated -->\ntail\n"; err != nil || text != want {
		t.Errorf("Rewrite: err %v, text %q", err, text)
	}
	for _, page := range []string{"", region + region, strings.Replace(region, "end", "and", 1)} {
		if _, err := Rewrite(page, made); err == nil {
			t.Errorf("Rewrite accepted the page %q", page)
		}
	}
}
