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

// smoothSeconds is the width of the window over which a share is taken for one point of a plot.
const smoothSeconds = 5

// WritePlots writes a plot for each class into a directory: the share in time over the run, a line for each policy. It
// returns the files.
func WritePlots(directory, name string, outcomes []Outcome) ([]string, error) {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return nil, eris.Wrap(err, "make directory for plots")
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
			drawn, err := plotter.NewLine(o.shares(i))
			if err != nil {
				return nil, eris.Wrapf(err, "draw %s", o.Policy.Name)
			}
			drawn.Color = plotutil.Color(j)
			drawn.Dashes = plotutil.Dashes(j)
			p.Add(drawn)
			p.Legend.Add(o.Policy.Name, drawn)
		}
		path := filepath.Join(directory, fmt.Sprintf("%s-%s.svg", name, class.Name))
		if err := p.Save(18*vg.Centimeter, 10*vg.Centimeter, path); err != nil {
			return nil, eris.Wrapf(err, "write %s", path)
		}
		files = append(files, path)
	}
	return files, nil
}

// shares is the share in time of a class over all runs, around each second.
func (o Outcome) shares(class int) plotter.XYs {
	var points plotter.XYs
	seconds := len(o.Runs[0].Classes[class].Seconds)
	for at := range seconds {
		asked, inTime := 0, 0
		for _, run := range o.Runs {
			for s := max(at-smoothSeconds/2, 0); s < min(at+smoothSeconds/2+1, seconds); s++ {
				asked += run.Classes[class].Seconds[s].Requests
				inTime += run.Classes[class].Seconds[s].InTime
			}
		}
		if asked > 0 {
			points = append(points, plotter.XY{
				X: float64(at),
				Y: float64(inTime) / float64(asked),
			})
		}
	}
	return points
}
