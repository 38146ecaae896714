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

// maxColouredLoad caps the colour scale: all loads of at least this multiple of their second's mean get one colour.
const maxColouredLoad = 3

// heatMapColours is the number of colours in a heat map.
const heatMapColours = 64

const (
	heatMapWidth  = 18 * vg.Centimeter
	heatMapHeight = 12 * vg.Centimeter
)

// loadGrid gives each replica's load in each second, as a multiple of the mean load in that second. It implements
// plotter.GridXYZ.
type loadGrid struct{ partsSent [][]int }

// Dims implements plotter.GridXYZ. A column is a second, and a row is a replica.
func (g loadGrid) Dims() (c, r int) { return len(g.partsSent), len(g.partsSent[0]) }

// X implements plotter.GridXYZ.
func (g loadGrid) X(c int) float64 { return float64(c) }

// Y implements plotter.GridXYZ.
func (g loadGrid) Y(r int) float64 { return float64(r) }

// Z implements plotter.GridXYZ. It caps the load at maxColouredLoad.
func (g loadGrid) Z(c, r int) float64 {
	return min(maxColouredLoad, float64(g.partsSent[c][r])/g.mean(c))
}

// mean returns the mean load of a second. It assumes at least one part in total, to avoid a division by 0.
func (g loadGrid) mean(c int) float64 {
	sum := 0
	for _, n := range g.partsSent[c] {
		sum += n
	}
	return max(1, float64(sum)) / float64(len(g.partsSent[c]))
}

// drawHeatMap writes a heat map of the replicas' load by second if result files are wanted. It draws none if partsSent
// covers less than two seconds.
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
