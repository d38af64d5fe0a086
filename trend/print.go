package trend

import (
	"bytes"
	"fmt"
	"html"
	"io"
	"strings"
	"text/tabwriter"
)

// Report holds all measured series.
type Report struct {
	Series []*Series
}

// Add appends an empty series of a mechanism. X says what its sizes count.
func (r *Report) Add(mechanism, x, unit string) *Series {
	s := &Series{Mechanism: mechanism, X: x, Unit: unit}
	r.Series = append(r.Series, s)
	return s
}

// Print writes a table with one row for each series.
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
			strings.Join(values, " "), number(l.Slope), number(l.Base), number(l.Deviation), s.Unit)
	}
	return t.Flush()
}

func number(v float64) string {
	if v == float64(int64(v)) {
		return fmt.Sprintf("%d", int64(v))
	}
	return fmt.Sprintf("%.4g", v)
}

// The layout of the plot in pixels: panels in columns, each with a margin.
const (
	panelWidth  = 320
	panelHeight = 200
	panelMargin = 40
	columns     = 4
)

// Plot returns an SVG picture with one panel for each series: its points and
// its line.
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

func (s *Series) panel(w io.Writer, left, top int) {
	const width, height = panelWidth - 2*panelMargin, panelHeight - 2*panelMargin
	var mx, my float64
	for _, p := range s.Points {
		mx, my = max(mx, p.X), max(my, p.Y)
	}
	if mx == 0 || my == 0 {
		mx, my = max(mx, 1), max(my, 1)
	}
	place := func(x, y float64) (float64, float64) {
		y = min(max(y, 0), my)
		return float64(left+panelMargin) + x/mx*width, float64(top+panelHeight-panelMargin) - y/my*height
	}
	x0, y0 := place(0, 0)
	_, _ = fmt.Fprintf(w, `<text x="%d" y="%d">%s</text>`+"\n", left+8, top+20, html.EscapeString(s.Mechanism+", "+s.Unit))
	_, _ = fmt.Fprintf(w, `<path d="M%.0f %.0f v%d M%.0f %.0f h%d" stroke="black"/>`+"\n", x0, y0, -height, x0, y0, width)
	_, _ = fmt.Fprintf(w, `<text x="%.0f" y="%.0f">0</text><text x="%.0f" y="%.0f" text-anchor="end">%s %s</text><text x="%.0f" y="%.0f">%s</text>`+"\n",
		x0, y0+14, x0+width, y0+14, number(mx), html.EscapeString(s.X), x0+3, y0-height+4, number(my))
	l := s.Fit()
	ax, ay := place(0, l.Base)
	bx, by := place(mx, l.Base+l.Slope*mx)
	_, _ = fmt.Fprintf(w, `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="steelblue"/>`+"\n", ax, ay, bx, by)
	for _, p := range s.Points {
		x, y := place(p.X, p.Y)
		_, _ = fmt.Fprintf(w, `<circle cx="%.1f" cy="%.1f" r="3" fill="firebrick"/>`+"\n", x, y)
	}
}
