package logchart

import (
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// The size of the image and the space between its panels.
const (
	width    = 25 * vg.Centimeter
	height   = 30 * vg.Centimeter
	panelGap = 4 * vg.Millimeter
)

// A curve is a named line in a panel.
type curve struct {
	name   string
	points []Point
	color  color.Color
}

var (
	blue  = color.RGBA{R: 31, G: 119, B: 180, A: 255}
	red   = color.RGBA{R: 214, G: 39, B: 40, A: 255}
	green = color.RGBA{R: 44, G: 160, B: 44, A: 255}
	grey  = color.RGBA{R: 150, G: 150, B: 150, A: 255}
)

// A panel is a chart with its own vertical scale.
type panel struct {
	title  string
	curves []curve
}

func (s *Series) panels() []panel {
	return []panel{
		{
			title:  "calls a second",
			curves: []curve{newCurve("accepted", s.JobsAccepted, blue), newCurve("refused", s.RequestsRefused, red)},
		},
		{
			title:  "tasks a second",
			curves: []curve{newCurve("started", s.TasksStarted, blue), newCurve("ended", s.TasksEnded, green)},
		},
		{
			title:  "stages that wait",
			curves: []curve{newCurve("all", s.StagesWaiting, blue), newCurve("too late", s.StagesLate, red)},
		},
		{
			title:  "cores in use",
			curves: []curve{newCurve("used", s.CoresUsed, blue)},
		},
		{
			title:  "hosts without the store",
			curves: []curve{newCurve("hosts", s.Away, red)},
		},
	}
}

func newCurve(name string, points []Point, c color.Color) curve {
	return curve{
		name:   name,
		points: points,
		color:  c,
	}
}

// WriteSVG draws s as an SVG image with the panels stacked vertically.
func (s *Series) WriteSVG(w io.Writer) error {
	panels := s.panels()
	plots := make([][]*plot.Plot, 0, len(panels))
	for _, p := range panels {
		x, err := s.draw(p)
		if err != nil {
			return err
		}
		plots = append(plots, []*plot.Plot{x})
	}
	c := vgsvg.New(width, height)
	t := draw.Tiles{
		Rows: len(plots),
		Cols: 1,
		PadY: panelGap,
	}
	for i, row := range plot.Align(plots, t, draw.New(c)) {
		plots[i][0].Draw(row[0])
	}
	_, err := c.WriteTo(w)
	return err
}

func (s *Series) draw(x panel) (*plot.Plot, error) {
	p := plot.New()
	p.Y.Label.Text = x.title
	p.X.Label.Text = "seconds"
	p.Legend.Top = true
	maxValue := 1.0
	for _, c := range x.curves {
		xys := make(plotter.XYs, len(c.points))
		for i, pt := range c.points {
			xys[i].X = pt.Second
			xys[i].Y = pt.Value
			maxValue = max(maxValue, pt.Value)
		}
		if len(xys) == 0 {
			continue
		}
		l, err := plotter.NewLine(xys)
		if err != nil {
			return nil, err
		}
		l.Color = c.color
		p.Add(l)
		p.Legend.Add(c.name, l)
	}
	for _, second := range s.LeaderChanges {
		l, err := plotter.NewLine(plotter.XYs{{X: second}, {X: second, Y: maxValue}})
		if err != nil {
			return nil, err
		}
		l.Color = grey
		l.Dashes = []vg.Length{vg.Points(2)}
		p.Add(l)
	}
	p.Y.Min = 0
	return p, nil
}
