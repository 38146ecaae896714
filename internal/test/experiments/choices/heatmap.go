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

// maxColouredLoad is the load, as a multiple of the mean of its second, from which on all have one colour.
const maxColouredLoad = 3

// heatMapColours is how many colours a heat map has.
const heatMapColours = 64

const (
	heatMapWidth  = 18 * vg.Centimeter
	heatMapHeight = 12 * vg.Centimeter
)

// loadGrid is the load of each replica by second, as a multiple of the mean of the second. It implements
// plotter.GridXYZ.
type loadGrid struct{ partsSent [][]int }

// Dims implements plotter.GridXYZ: a column is a second, a row a replica.
func (g loadGrid) Dims() (c, r int) { return len(g.partsSent), len(g.partsSent[0]) }

// X implements plotter.GridXYZ.
func (g loadGrid) X(c int) float64 { return float64(c) }

// Y implements plotter.GridXYZ.
func (g loadGrid) Y(r int) float64 { return float64(r) }

// Z implements plotter.GridXYZ.
func (g loadGrid) Z(c, r int) float64 {
	return min(maxColouredLoad, float64(g.partsSent[c][r])/g.mean(c))
}

// mean returns the mean load of a second, of one part in all at least.
func (g loadGrid) mean(c int) float64 {
	sum := 0
	for _, n := range g.partsSent[c] {
		sum += n
	}
	return max(1, float64(sum)) / float64(len(g.partsSent[c]))
}

// drawHeatMap draws the load of the replicas by second, where files of results are wanted. A play of less than two
// seconds has no heat map.
func drawHeatMap(r *experiment.Report, name string, replicas int, partsSent [][]int) error {
	path, wanted := r.ResultPath(name + ".svg")
	if !wanted || len(partsSent) < 2 {
		return nil
	}
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: load of %d nodes, over the mean of the second", name, replicas)
	p.X.Label.Text, p.Y.Label.Text = "s", "node"
	colours := moreland.SmoothBlueRed()
	colours.SetMin(0)
	colours.SetMax(maxColouredLoad)
	p.Add(plotter.NewHeatMap(loadGrid{partsSent}, colours.Palette(heatMapColours)))
	c := vgsvg.New(heatMapWidth, heatMapHeight)
	p.Draw(draw.New(c))
	out, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = c.WriteTo(out)
	return errors.Join(err, out.Close())
}
