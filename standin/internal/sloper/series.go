package sloper

import "math"

// series is one quantity measured at sizes that double.
type series struct {
	// name is in camel case and names the quantity.
	name string
	// unit is the unit of the values.
	unit string
	// per is what the size counts.
	per string
	// points are the measured points, by rising size.
	points []point
}

// point is one measured value.
type point struct {
	size  float64
	value float64
}

// add appends a point.
func (sr *series) add(size, value float64) {
	sr.points = append(sr.points, point{
		size:  size,
		value: value,
	})
}

// line is the straight line through a series by least squares.
type line struct {
	// base is the value at size 0.
	base float64
	// slope is the rise of the value for each unit of size.
	slope float64
	// residual is the root mean square of the points' distances from the line.
	residual float64
}

// fit returns the line of a series of at least two sizes.
func fit(points []point) line {
	number := float64(len(points))
	var sizes, values float64
	for _, pt := range points {
		sizes += pt.size
		values += pt.value
	}
	meanSize := sizes / number
	meanValue := values / number
	var covariance, variance float64
	for _, pt := range points {
		covariance += (pt.size - meanSize) * (pt.value - meanValue)
		variance += (pt.size - meanSize) * (pt.size - meanSize)
	}
	le := line{slope: covariance / variance}
	le.base = meanValue - le.slope*meanSize
	var squares float64
	for _, pt := range points {
		distance := pt.value - le.base - le.slope*pt.size
		squares += distance * distance
	}
	le.residual = math.Sqrt(squares / number)
	return le
}
