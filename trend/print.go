package trend

import (
	"bytes"
	"fmt"
	"html"
	"io"
	"strings"
	"text/tabwriter"
)

// Report holds all measured series in the order of Add.
type Report struct {
	Series []*Series
}

// Add appends an empty series of a mechanism and returns it. x names what the sizes
// count, unit is that of the values.
func (r *Report) Add(mechanism, x, unit string) *Series {
	s := &Series{Mechanism: mechanism, X: x, Unit: unit}
	r.Series = append(r.Series, s)
	return s
}

// Print writes a table with one row per series: the sizes, the values and the line.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "mechanism\tx\tsizes\tvalues\tslope\tbase\tdeviation\tunit")
	for _, s := range r.Series {
		var sizes, values []string
		for _, p := range s.Points {
			sizes = append(sizes, number(p.X))
			values = append(values, number(p.Y))
		}
		l := s.Fit()
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", s.Mechanism, s.X, strings.Join(sizes, " "),
			strings.Join(values, " "), number(l.Slope), number(l.Intercept), number(l.Deviation), s.Unit)
	}
	return t.Flush()
}

// number formats integers without decimals and other values with four significant
// digits.
func number(v float64) string {
	if v == float64(int64(v)) {
		return fmt.Sprintf("%d", int64(v))
	}
	return fmt.Sprintf("%.4g", v)
}

// The layout of the plot: the size and the inner margin of a panel in pixels, and
// the number of panels per row.
const (
	panelWidth  = 320
	panelHeight = 200
	panelMargin = 40
	columns     = 4
)

// Plot returns an SVG image with one panel per series, which shows its points and
// the fitted line.
func (r *Report) Plot() []byte {
	var b bytes.Buffer
	rows := (len(r.Series) + columns - 1) / columns
	_, _ = fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		columns*panelWidth, rows*panelHeight)
	_, _ = fmt.Fprintln(&b, `<rect width="100%" height="100%" fill="white"/>`)
	for i, s := range r.Series {
		s.panel(&b, i%columns*panelWidth, i/columns*panelHeight)
	}
	_, _ = fmt.Fprintln(&b, "</svg>")
	return b.Bytes()
}

// panel draws the series with the upper left corner of its panel at left and top.
// Both axes start at 0 and end at the largest size and value. If one of these is 0,
// neither axis ends below 1. An end of the fitted line outside the range of values is
// moved to the edge of the range.
func (s *Series) panel(w io.Writer, left, top int) {
	const width, height = panelWidth - 2*panelMargin, panelHeight - 2*panelMargin
	var maxX, maxY float64
	for _, p := range s.Points {
		maxX, maxY = max(maxX, p.X), max(maxY, p.Y)
	}
	if maxX == 0 || maxY == 0 {
		maxX, maxY = max(maxX, 1), max(maxY, 1)
	}
	project := func(x, y float64) (float64, float64) {
		y = min(max(y, 0), maxY)
		return float64(left+panelMargin) + x/maxX*width, float64(top+panelHeight-panelMargin) - y/maxY*height
	}
	originX, originY := project(0, 0)
	_, _ = fmt.Fprintf(w, `<text x="%d" y="%d">%s</text>`+"\n", left+8, top+20, html.EscapeString(s.Mechanism+", "+s.Unit))
	_, _ = fmt.Fprintf(w, `<path d="M%.0f %.0f v%d M%.0f %.0f h%d" stroke="black"/>`+"\n", originX, originY, -height, originX, originY, width)
	_, _ = fmt.Fprintf(w, `<text x="%.0f" y="%.0f">0</text><text x="%.0f" y="%.0f" text-anchor="end">%s %s</text><text x="%.0f" y="%.0f">%s</text>`+"\n",
		originX, originY+14, originX+width, originY+14, number(maxX), html.EscapeString(s.X), originX+3, originY-height+4, number(maxY))
	l := s.Fit()
	startX, startY := project(0, l.Intercept)
	endX, endY := project(maxX, l.Intercept+l.Slope*maxX)
	_, _ = fmt.Fprintf(w, `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="steelblue"/>`+"\n", startX, startY, endX, endY)
	for _, p := range s.Points {
		x, y := project(p.X, p.Y)
		_, _ = fmt.Fprintf(w, `<circle cx="%.1f" cy="%.1f" r="3" fill="firebrick"/>`+"\n", x, y)
	}
}
