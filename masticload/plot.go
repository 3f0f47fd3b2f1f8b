package masticload

import (
	"fmt"
	"os"
	"strings"

	"github.com/google/renameio/v2"
)

// Dimensions of a plot, in pixels.
const (
	plotWidth  = 640
	plotHeight = 360
	plotMargin = 60
)

// WritePlot writes the report's quantiles as an SVG image to path.
func (r Report) WritePlot(path string) error {
	return renameio.WriteFile(path, []byte(r.SVG()), os.FileMode(0o644))
}

// SVG returns a plot of the report's quantiles as an SVG image.
func (r Report) SVG() string {
	maxMillis := 1.0
	for _, q := range append(append([]Quantile(nil), r.FirstToken...), r.Answer...) {
		maxMillis = max(maxMillis, q.Millis)
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="%d" height="%d" fill="white"/>`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(&b, `<text x="%d" y="20">%d requests, %d whole, %.1f per second; times in milliseconds</text>`+"\n",
		plotMargin, r.Requests, r.Whole, r.PerSecond)
	for i, p := range percentiles {
		fmt.Fprintf(&b, `<text x="%.0f" y="%d" text-anchor="middle">p%g</text>`+"\n", plotX(i), plotHeight-plotMargin/2, p)
	}
	for i := range 5 {
		v := maxMillis * float64(i) / 4
		fmt.Fprintf(&b, `<text x="%d" y="%.0f" text-anchor="end">%.1f</text>`+"\n", plotMargin-8, plotY(v, maxMillis), v)
		fmt.Fprintf(&b, `<path d="M%d %.0fH%d" stroke="#ddd"/>`+"\n", plotMargin, plotY(v, maxMillis), plotWidth-plotMargin)
	}
	plotLine(&b, "first token", "#06c", 40, r.FirstToken, maxMillis)
	plotLine(&b, "answer", "#c60", 56, r.Answer, maxMillis)
	b.WriteString("</svg>\n")
	return b.String()
}

func plotX(i int) float64 {
	return plotMargin + float64(i)*float64(plotWidth-2*plotMargin)/float64(len(percentiles)-1)
}

func plotY(v, maxMillis float64) float64 {
	return plotHeight - plotMargin - v/maxMillis*(plotHeight-2*plotMargin)
}

func plotLine(b *strings.Builder, name, colour string, y int, list []Quantile, maxMillis float64) {
	var points []string
	for i, q := range list {
		points = append(points, fmt.Sprintf("%.0f,%.0f", plotX(i), plotY(q.Millis, maxMillis)))
	}
	fmt.Fprintf(b, `<polyline points="%s" fill="none" stroke="%s" stroke-width="2"/>`+"\n", strings.Join(points, " "), colour)
	fmt.Fprintf(b, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotMargin, y, colour, name)
}
