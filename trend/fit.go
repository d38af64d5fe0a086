package trend

import "math"

// Point is one measured value at one size.
type Point struct {
	X, Y float64
}

// Line is the least squares line through the points of a series.
type Line struct {
	Slope, Base float64
	// Deviation is the root mean square distance of the points from the line.
	Deviation float64
}

// Series is one cost at several sizes.
type Series struct {
	Mechanism string
	X, Unit   string // what the size counts, and the unit of the values
	Points    []Point
}

// Add appends a measured value.
func (s *Series) Add(x, y float64) { s.Points = append(s.Points, Point{x, y}) }

// Fit returns the least squares line. Points at a single size give a flat line.
func (s *Series) Fit() Line {
	n := float64(len(s.Points))
	if n == 0 {
		return Line{}
	}
	var sx, sy, sxx, sxy float64
	for _, p := range s.Points {
		sx += p.X
		sy += p.Y
		sxx += p.X * p.X
		sxy += p.X * p.Y
	}
	var l Line
	if d := n*sxx - sx*sx; d > 0 {
		l.Slope = (n*sxy - sx*sy) / d
	}
	l.Base = (sy - l.Slope*sx) / n
	var sum float64
	for _, p := range s.Points {
		e := p.Y - l.Base - l.Slope*p.X
		sum += e * e
	}
	l.Deviation = math.Sqrt(sum / n)
	return l
}
