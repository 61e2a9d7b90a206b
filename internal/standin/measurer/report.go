package measurer

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Report compares both systems in one experiment.
type Report struct {
	Experiment string  `json:"experiment"`
	Deployment string  `json:"deployment"`
	Repeats    int     `json:"repeats"`
	Product    *Result `json:"product"`
	Naive      *Result `json:"naive"`
}

func (r *Report) systems() map[System]*Result {
	return map[System]*Result{Product: r.Product, Naive: r.Naive}
}

// Table writes the report as text.
func (r *Report) Table(out io.Writer) error {
	fmt.Fprintf(out, "%s on %s, medians of %d runs, counts are sums\n", r.Experiment, r.Deployment, r.Repeats)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "service\tsystem\toffered\tcomplete\tp50 ms\tp99 ms\tmax ms\tslots\trefused or failed")
	for _, name := range r.names() {
		for _, system := range []System{Product, Naive} {
			v := r.systems()[system]
			s := v.service(name)
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.0f%%\t%s\n", name, system, s.Offered, s.Answered, s.P50, s.P99, s.Max, 100*v.Slots[name], counts(s.Refused))
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, system := range []System{Product, Naive} {
		v := r.systems()[system]
		fmt.Fprintf(out, "%s: busiest link %.2f%%, drain %s, promises broken: %s\n", system, 100*v.Link, drain(v.Drain), counts(v.Breaches))
		for _, p := range slices.Sorted(maps.Keys(v.Evidence)) {
			fmt.Fprintf(out, "  first %s: %s\n", p, v.Evidence[p])
		}
		for _, p := range v.Problems {
			fmt.Fprintln(out, "  problem:", p)
		}
	}
	return nil
}

func drain(ms float64) string {
	if ms == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f ms", ms)
}

func (r *Report) names() []string {
	return slices.Sorted(maps.Keys(r.Product.Services))
}

func counts(m map[string]int) string {
	if len(m) == 0 {
		return "-"
	}
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(parts, ", ")
}

const (
	width  = 20 * vg.Centimeter
	height = 12 * vg.Centimeter
	bar    = vg.Inch / 5
)

// SVG writes a chart of p50 and p99 of both systems to a file whose name ends
// in ".svg".
func (r *Report) SVG(file string) error {
	if !strings.HasSuffix(file, ".svg") {
		return classifier.BadRequest.New("file %q: use a name that ends in .svg", file)
	}
	p := plot.New()
	p.Title.Text = r.Experiment + " on " + r.Deployment
	p.Y.Label.Text = "ms"
	p.Y.Min = 0
	names := r.names()
	for i, series := range []struct {
		label  string
		result *Result
		value  func(*Service) float64
	}{
		{"product p50", r.Product, func(s *Service) float64 { return s.P50 }},
		{"naive p50", r.Naive, func(s *Service) float64 { return s.P50 }},
		{"product p99", r.Product, func(s *Service) float64 { return s.P99 }},
		{"naive p99", r.Naive, func(s *Service) float64 { return s.P99 }},
	} {
		var values plotter.Values
		for _, n := range names {
			values = append(values, series.value(series.result.service(n)))
		}
		c, err := plotter.NewBarChart(values, bar)
		if err != nil {
			return classifier.Internal.Wrap(err, "chart")
		}
		c.Color, c.Offset = plotutil.Color(i), bar*vg.Length(float64(i)-1.5)
		p.Add(c)
		p.Legend.Add(series.label, c)
	}
	p.Legend.Top = true
	p.NominalX(names...)
	if err := p.Save(width, height, file); err != nil {
		return classifier.BadRequest.Wrap(err, "chart")
	}
	return nil
}
