package goosebench

import (
	"path/filepath"
	"sort"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of plots and bars, in points.
const (
	plotWidth  vg.Length = 640
	plotHeight vg.Length = 400
	barWidth             = 14
)

// writePlots writes the report's SVG plots into a directory.
func (r *Report) writePlots(dir string) error {
	plots := map[string]func() (*plot.Plot, error){
		"first-token": r.plotFirstToken,
		"results":     r.plotResults,
		"starts":      r.plotStarts,
		"slowdown":    r.plotSlowdown,
	}
	for name, draw := range plots {
		p, err := draw()
		if err != nil {
			return errors.Wrapf(err, "plot %s", name)
		}
		if p == nil {
			continue
		}
		file := filepath.Join(dir, r.Scenario+"-"+name+".svg")
		if err := p.Save(plotWidth, plotHeight, file); err != nil {
			return errors.Wrapf(err, "plot %s", name)
		}
	}
	return nil
}

// plotFirstToken plots the time to first token by prompt length.
func (r *Report) plotFirstToken() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Time to first token by prompt length"
	p.X.Label.Text, p.Y.Label.Text = "prompt tokens", "seconds"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	drawn := 0
	for _, ph := range r.Phases {
		var p50, p95 plotter.XYs
		for _, b := range ph.FirstTokenByLength {
			if b.Latency.Count > 0 && b.Latency.P50 > 0 {
				p50 = append(p50, plotter.XY{X: float64(b.MaxPromptTokens), Y: b.Latency.P50 / 1000})
				p95 = append(p95, plotter.XY{X: float64(b.MaxPromptTokens), Y: b.Latency.P95 / 1000})
			}
		}
		if len(p50) == 0 {
			continue
		}
		for i, series := range []plotter.XYs{p50, p95} {
			l, points, err := plotter.NewLinePoints(series)
			if err != nil {
				return nil, err
			}
			l.Color, points.Color = plotutil.Color(drawn), plotutil.Color(drawn) //nolint:misspell // a name of the library
			l.Dashes = plotutil.Dashes(i)
			p.Add(l, points)
			p.Legend.Add(ph.Name+" "+[]string{"p50", "p95"}[i], l, points)
		}
		drawn++
	}
	if drawn == 0 {
		return nil, nil
	}
	return p, nil
}

// plotResults plots the number of requests of each phase by result.
func (r *Report) plotResults() (*plot.Plot, error) {
	if len(r.Phases) == 0 {
		return nil, nil
	}
	p := plot.New()
	p.Title.Text = "Results of requests"
	p.Y.Label.Text = "requests"
	p.Legend.Top = true
	names := make([]string, len(r.Phases))
	for i, ph := range r.Phases {
		names[i] = ph.Name
	}
	for i, result := range []Result{ResultServed, ResultRefused, ResultFailed, ResultCut, ResultWrong} {
		values := make(plotter.Values, len(r.Phases))
		for j, ph := range r.Phases {
			values[j] = float64(ph.Results[result])
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return nil, err
		}
		bars.Color, bars.Offset = plotutil.Color(i), vg.Points(barWidth*(float64(i)-2)) //nolint:misspell // a name of the library
		p.Add(bars)
		p.Legend.Add(string(result), bars)
	}
	setBarGroups(p, names)
	return p, nil
}

// plotStarts plots the requests started per second by data centre in the last phase,
// with the events of its script.
func (r *Report) plotStarts() (*plot.Plot, error) {
	if len(r.Phases) == 0 {
		return nil, nil
	}
	ph := r.Phases[len(r.Phases)-1]
	if len(ph.Samples) < 2 {
		return nil, nil
	}
	p := plot.New()
	p.Title.Text = "Requests started by data centre: " + ph.Name
	p.X.Label.Text, p.Y.Label.Text = "seconds", "requests/s"
	p.Legend.Top = true
	var dataCentres []string
	for dc := range ph.Samples[0].Started {
		dataCentres = append(dataCentres, dc)
	}
	sort.Strings(dataCentres)
	maxRate := 1.0
	for i, dc := range dataCentres {
		var line plotter.XYs
		for _, s := range ph.Samples {
			y := startRate(ph.Samples, dc, s.At-1, s.At)
			maxRate = max(maxRate, y)
			line = append(line, plotter.XY{X: s.At, Y: y})
		}
		l, err := plotter.NewLine(line)
		if err != nil {
			return nil, err
		}
		l.Color = plotutil.Color(i) //nolint:misspell // a name of the library
		p.Add(l)
		p.Legend.Add(dc, l)
	}
	return p, addEvents(p, ph.Events, maxRate)
}

// addEvents draws a dashed line and a label for every event.
func addEvents(p *plot.Plot, events []Event, height float64) error {
	var at plotter.XYs
	var labels []string
	for i, e := range events {
		l, err := plotter.NewLine(plotter.XYs{{X: e.At, Y: 0}, {X: e.At, Y: height}})
		if err != nil {
			return err
		}
		l.Dashes = plotutil.Dashes(1)
		p.Add(l)
		// Labels at varying heights stay legible when events are close together.
		at = append(at, plotter.XY{X: e.At, Y: height * float64(1+i%8) / 8})
		labels = append(labels, e.Description)
	}
	if len(at) == 0 {
		return nil
	}
	l, err := plotter.NewLabels(plotter.XYLabels{XYs: at, Labels: labels})
	if err != nil {
		return err
	}
	p.Add(l)
	return nil
}

// plotSlowdown plots the slowdown of short requests for each baseline.
func (r *Report) plotSlowdown() (*plot.Plot, error) {
	if len(r.Slowdown) == 0 {
		return nil, nil
	}
	p := plot.New()
	p.Title.Text = "Slowdown of short requests beside long ones"
	p.Y.Label.Text = "ratio of time to first token"
	p.Legend.Top = true
	names := make([]string, 0, len(r.Slowdown))
	for n := range r.Slowdown {
		names = append(names, n)
	}
	sort.Strings(names)
	series := []struct {
		name string
		get  func(Slowdown) float64
	}{
		{"p50", func(s Slowdown) float64 { return s.P50 }},
		{"p95", func(s Slowdown) float64 { return s.P95 }},
	}
	for i, s := range series {
		values := make(plotter.Values, len(names))
		for j, n := range names {
			values[j] = s.get(r.Slowdown[n])
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return nil, err
		}
		bars.Color, bars.Offset = plotutil.Color(i), vg.Points(barWidth*(float64(i)-0.5)) //nolint:misspell // a name of the library
		p.Add(bars)
		p.Legend.Add(s.name, bars)
	}
	setBarGroups(p, names)
	return p, nil
}

// setBarGroups names the groups of a bar chart and leaves space between the bars and
// the legend.
func setBarGroups(p *plot.Plot, names []string) {
	p.NominalX(names...)
	p.X.Min, p.X.Max = -0.75, float64(len(names))-0.25
	p.Y.Min, p.Y.Max = 0, p.Y.Max*1.25
}
