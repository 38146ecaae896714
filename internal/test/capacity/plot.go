package capacity

import (
	"image/color"
	"math"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

const (
	panelWidth  = 12 * vg.Centimeter
	panelHeight = 9 * vg.Centimeter
	legendRow   = 0.06 // height of a legend row, as a share of the height of the lines
)

var palette = []color.Color{color.RGBA{31, 119, 180, 255}, color.RGBA{214, 39, 40, 255}, color.RGBA{44, 160, 44, 255},
	color.RGBA{148, 103, 189, 255}, color.RGBA{255, 127, 14, 255}, color.RGBA{23, 190, 207, 255}}

// Plot draws a run's series on logarithmic axes as a PNG file. Series with the same unit and variable share a panel.
func Plot(r *Run, path string) (err error) {
	var titles []string
	panels := map[string][]Series{}
	for _, s := range r.Series {
		title := s.Unit + " by " + s.Variable
		if panels[title] == nil {
			titles = append(titles, title)
		}
		panels[title] = append(panels[title], s)
	}
	const columns = 3
	rows := (len(titles) + columns - 1) / columns
	canvas := vgimg.New(columns*panelWidth, vg.Length(rows)*panelHeight)
	tiles := draw.Tiles{Rows: rows, Cols: columns, PadX: vg.Centimeter, PadY: vg.Centimeter}
	for i, title := range titles {
		p, err := panel(title, panels[title])
		if err != nil {
			return err
		}
		p.Draw(tiles.At(draw.New(canvas), i%columns, i/columns))
	}
	out, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(out); err != nil {
		out.Close()
		return err
	}
	return out.Close()
}

// panel plots series with the same unit and variable.
func panel(title string, list []Series) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Legend.TextStyle.Font.Size = vg.Points(8)
	p.Add(plotter.NewGrid())
	for i, s := range list {
		var points plotter.XYs
		for _, point := range s.Points {
			points = append(points, plotter.XY{X: point.X, Y: point.Median})
		}
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return nil, err
		}
		line.Color = palette[i%len(palette)]
		line.Dashes = [][]vg.Length{nil, {vg.Points(6), vg.Points(3)}, {vg.Points(1), vg.Points(2)}}[i/len(palette)%3]
		marks.Color = line.Color
		p.Add(line, marks)
		p.Legend.Add(s.Name, line, marks)
	}
	p.Y.Max *= math.Pow(p.Y.Max/p.Y.Min, legendRow*float64(len(list))) // leaves room for the legend above the lines
	return p, nil
}
