package choices

import (
	"errors"
	"fmt"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"harepass/internal/test/experiment"
)

// hottest is the load, over the mean of its second, at which the colours end.
const hottest = 3

// loadGrid is the load of each node by second, over the mean of its second. It implements plotter.GridXYZ.
type loadGrid struct{ load [][]int }

func (g loadGrid) Dims() (c, r int)   { return len(g.load), len(g.load[0]) }
func (g loadGrid) X(c int) float64    { return float64(c) }
func (g loadGrid) Y(r int) float64    { return float64(r) }
func (g loadGrid) Z(c, r int) float64 { return min(hottest, float64(g.load[c][r])/g.mean(c)) }

func (g loadGrid) mean(c int) float64 {
	sum := 0
	for _, n := range g.load[c] {
		sum += n
	}
	return max(1, float64(sum)) / float64(len(g.load[c]))
}

// keepHeatMap draws the load of the nodes by second where results are kept.
func keepHeatMap(r *experiment.Report, name string, nodes int, load [][]int) error {
	path, kept := r.ResultPath(name + ".svg")
	if !kept || len(load) < 2 {
		return nil
	}
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: load of %d nodes, over the mean of the second", name, nodes)
	p.X.Label.Text, p.Y.Label.Text = "s", "node"
	colours := moreland.SmoothBlueRed()
	colours.SetMin(0)
	colours.SetMax(hottest)
	p.Add(plotter.NewHeatMap(loadGrid{load}, colours.Palette(64)))
	c := vgsvg.New(18*vg.Centimeter, 12*vg.Centimeter)
	p.Draw(draw.New(c))
	out, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = c.WriteTo(out)
	return errors.Join(err, out.Close())
}
