package report

import (
	"bytes"
	"embed"
	"fmt"
	"html/template"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

//go:embed page.html
var files embed.FS

var pageTemplate = template.Must(template.New("page.html").Funcs(template.FuncMap{
	"pct": func(x float64) string { return fmt.Sprintf("%.2f%%", 100*x) },
}).ParseFS(files, "page.html"))

var colours = []color.Color{color.RGBA{31, 97, 141, 255}, color.RGBA{39, 134, 77, 255}, color.RGBA{202, 111, 30, 255},
	color.RGBA{176, 58, 46, 255}, color.RGBA{118, 68, 138, 255}}

// WritePage writes a report as a self-contained HTML page.
func WritePage(w io.Writer, r Report) error {
	plots, err := r.plots()
	if err != nil {
		return err
	}
	return pageTemplate.Execute(w, struct {
		Report
		Plots []namedPlot
	}{r, plots})
}

type namedPlot struct {
	Title string
	SVG   template.HTML
}

// series is one line of a plot over the seconds of a run.
type series struct {
	name string
	ys   func(Second) float64
}

func (r Report) plots() ([]namedPlot, error) {
	var out []namedPlot
	for _, p := range []struct {
		title, axis string
		lines       []series
	}{
		{"Rate", "a second", []series{{"wanted", func(s Second) float64 { return float64(s.Offered) }},
			{"satisfied", func(s Second) float64 { return float64(s.Succeeded) }},
			{"nacked", func(s Second) float64 { return float64(s.Rejected) }},
			{"failed", func(s Second) float64 { return float64(s.Failed) }}}},
		{"Service", "share in time", []series{{"service", func(s Second) float64 { return s.Service }}}},
		{"Latency", "ms", []series{{"p50", func(s Second) float64 { return s.P50 }}, {"p99", func(s Second) float64 { return s.P99 }}}},
		{"Connections opened to servers", "a second", []series{{"opened", func(s Second) float64 { return float64(s.ConnectionsOpened) }}}},
	} {
		var lines []plotLine
		for _, l := range p.lines {
			var xys plotter.XYs
			for _, s := range r.Seconds {
				xys = append(xys, plotter.XY{X: float64(s.At), Y: l.ys(s)})
			}
			lines = append(lines, plotLine{l.name, xys})
		}
		svg, err := r.plot(p.axis, lines)
		if err != nil {
			return nil, err
		}
		out = append(out, namedPlot{p.title, svg})
	}
	var cpu, memory, load []plotLine
	for _, u := range r.Routers {
		cpu = append(cpu, plotLine{fmt.Sprintf("router %d", u.Router), pointsOf(u.CPU)})
		memory = append(memory, plotLine{fmt.Sprintf("router %d", u.Router), pointsOf(u.MemoryMB)})
	}
	for _, s := range r.Servers {
		ys := make([]float64, len(s.BySecond))
		for i, n := range s.BySecond {
			ys[i] = float64(n)
		}
		load = append(load, plotLine{string(s.Server), pointsOf(ys)})
	}
	for _, p := range []struct {
		title, axis string
		lines       []plotLine
	}{{"Write-outs by server", "a second", load}, {"CPU by router", "s a second", cpu}, {"Memory by router", "MB", memory}} {
		svg, err := r.plot(p.axis, p.lines)
		if err != nil {
			return nil, err
		}
		out = append(out, namedPlot{p.title, svg})
	}
	return out, nil
}

// plotLine is one line of a plot with its points.
type plotLine struct {
	name   string
	points plotter.XYs
}

func pointsOf(ys []float64) (xys plotter.XYs) {
	for i, y := range ys {
		xys = append(xys, plotter.XY{X: float64(i), Y: y})
	}
	return xys
}

// plot draws lines over time as SVG, with the faults marked.
func (r Report) plot(axis string, lines []plotLine) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "s", axis
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	const named = 12 // a larger legend would hide the plot
	for i, l := range lines {
		if len(l.points) == 0 {
			continue
		}
		drawn, err := plotter.NewLine(l.points)
		if err != nil {
			return "", err
		}
		drawn.Color = colours[i%len(colours)]
		drawn.Width = vg.Points(1.2)
		if i/len(colours)%2 == 1 {
			drawn.Dashes = []vg.Length{vg.Points(3), vg.Points(2)}
		}
		p.Add(drawn)
		if len(lines) <= named {
			p.Legend.Add(l.name, drawn)
		}
	}
	p.Legend.Top = true
	p.Legend.TextStyle.Font.Size = vg.Points(8)
	p.Y.Max = max(p.Y.Max*1.4, 0.001) // space for the legend above the lines
	if err := r.markFaults(p); err != nil {
		return "", err
	}
	canvas := vgsvg.New(9*vg.Inch, 2.4*vg.Inch)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 {
		text = text[i:] // strip the XML prolog
	}
	return template.HTML(text), nil // generated here from numbers and the names of routers and servers
}

// markFaults adds a vertical line where a fault begins or ends, with the name of the fault at its begin.
func (r Report) markFaults(p *plot.Plot) error {
	marks := plotter.XYLabels{}
	for _, f := range r.Faults {
		mark, err := plotter.NewLine(plotter.XYs{{X: f.At, Y: 0}, {X: f.At, Y: p.Y.Max}})
		if err != nil {
			return err
		}
		mark.Color = color.RGBA{150, 150, 150, 255}
		mark.Dashes = []vg.Length{vg.Points(2), vg.Points(2)}
		if f.End {
			mark.Dashes = []vg.Length{vg.Points(1), vg.Points(4)}
		}
		p.Add(mark)
		if !f.End {
			// Staggered, so that the labels of faults that begin together stay readable.
			marks.XYs = append(marks.XYs, plotter.XY{X: f.At, Y: p.Y.Max * (0.95 - 0.08*float64(len(marks.Labels)%4))})
			marks.Labels = append(marks.Labels, " "+f.Kind)
		}
	}
	if len(marks.Labels) > 0 {
		names, err := plotter.NewLabels(marks)
		if err != nil {
			return err
		}
		for i := range names.TextStyle {
			names.TextStyle[i].Font.Size = vg.Points(7)
		}
		p.Add(names)
	}
	return nil
}
