package trend

import "math"

// Point is a value Y measured at a size X.
type Point struct {
	X, Y float64
}

// Line is the least squares line Intercept + Slope*x of a series.
type Line struct {
	Slope, Intercept float64
	// Deviation is the root mean square of the vertical distances of the points
	// from the line, in the unit of the values.
	Deviation float64
}

// Series holds one cost of a mechanism measured at several sizes.
type Series struct {
	Mechanism string
	X, Unit   string // what the size counts, and the unit of the values
	Points    []Point
}

// Add appends a measured value.
func (s *Series) Add(x, y float64) { s.Points = append(s.Points, Point{x, y}) }

// Fit returns the least squares line. If all points have the same size, it is the
// horizontal line through their mean; without points it is the zero Line.
func (s *Series) Fit() Line {
	n := float64(len(s.Points))
	if n == 0 {
		return Line{}
	}
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range s.Points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
	}
	var l Line
	if determinant := n*sumXX - sumX*sumX; determinant > 0 {
		l.Slope = (n*sumXY - sumX*sumY) / determinant
	}
	l.Intercept = (sumY - l.Slope*sumX) / n
	var squares float64
	for _, p := range s.Points {
		residual := p.Y - l.Intercept - l.Slope*p.X
		squares += residual * residual
	}
	l.Deviation = math.Sqrt(squares / n)
	return l
}
