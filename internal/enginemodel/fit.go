package enginemodel

// fit is a weighted least-squares line through observations (tokens, microseconds).
type fit struct {
	n, x, y, xx, xy float64
}

func (f *fit) add(x, y, weight float64) {
	f.n += weight
	f.x += weight * x
	f.y += weight * y
	f.xx += weight * x * x
	f.xy += weight * x * y
}

func (f *fit) decay(keep float64) {
	f.n *= keep
	f.x *= keep
	f.y *= keep
	f.xx *= keep
	f.xy *= keep
}

// sameLengths is the variance of the lengths, as a part of their mean square, below which
// they are too much alike to tell a slope from an intercept.
const sameLengths = 0.01

// slope returns the microseconds of one token.
func (f *fit) slope() float64 {
	spread := f.n*f.xx - f.x*f.x
	if spread < sameLengths*f.n*f.xx || spread <= 0 {
		if f.x <= 0 {
			return float64(startRead.Microseconds())
		}
		return clamp(f.y/f.x, leastRead, mostRead)
	}
	return clamp((f.n*f.xy-f.x*f.y)/spread, leastRead, mostRead)
}

// at returns the value of the line, which is never below what its slope alone gives.
func (f *fit) at(x float64) float64 {
	b := f.slope()
	return max((f.y-b*f.x)/f.n, 0) + b*x
}
