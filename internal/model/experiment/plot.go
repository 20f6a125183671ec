package experiment

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// smoothingSeconds is the width of the window, in seconds, over which each point of a plot is averaged.
const smoothingSeconds = 5

// WritePlots writes an SVG plot for each class into a directory and returns the paths. A plot has a line for each
// policy with the share of requests served within their targets over the time of the run.
func WritePlots(directory, name string, outcomes []Outcome) ([]string, error) {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return nil, eris.Wrap(err, "create plot directory")
	}
	var files []string
	for i, class := range outcomes[0].Runs[0].Classes {
		p := plot.New()
		p.Title.Text = name + ": " + class.Name
		p.X.Label.Text = "second"
		p.Y.Label.Text = "share in time"
		p.Y.Min, p.Y.Max = 0, 1
		p.Legend.Top = false
		for j, o := range outcomes {
			line, err := plotter.NewLine(o.attainmentPoints(i))
			if err != nil {
				return nil, eris.Wrapf(err, "draw line of policy %s", o.Policy.Name)
			}
			line.Color = plotutil.Color(j)
			line.Dashes = plotutil.Dashes(j)
			p.Add(line)
			p.Legend.Add(o.Policy.Name, line)
		}
		path := filepath.Join(directory, fmt.Sprintf("%s-%s.svg", name, class.Name))
		if err := p.Save(18*vg.Centimeter, 10*vg.Centimeter, path); err != nil {
			return nil, eris.Wrapf(err, "write %s", path)
		}
		files = append(files, path)
	}
	return files, nil
}

// attainmentPoints returns, for each second, the share of requests of a class that were served within their targets. It
// is taken over all runs and the window around the second; seconds without requests in the window have no point.
func (o Outcome) attainmentPoints(class int) plotter.XYs {
	var points plotter.XYs
	seconds := len(o.Runs[0].Classes[class].Seconds)
	for second := range seconds {
		requests, inTime := 0, 0
		for _, run := range o.Runs {
			for s := max(second-smoothingSeconds/2, 0); s < min(second+smoothingSeconds/2+1, seconds); s++ {
				requests += run.Classes[class].Seconds[s].Requests
				inTime += run.Classes[class].Seconds[s].InTime
			}
		}
		if requests > 0 {
			points = append(points, plotter.XY{
				X: float64(second),
				Y: float64(inTime) / float64(requests),
			})
		}
	}
	return points
}
