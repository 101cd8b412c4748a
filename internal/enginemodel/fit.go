package enginemodel

// features are the quantities that the prefill time depends on: a constant, the number of tokens, and
// the number of pairs of a token and an earlier one, which determines the attention time.
type features [3]float64

// featuresOf returns the features of a number of tokens to prefill after a number of cached tokens.
func featuresOf(tokens, cached int) features {
	n, before := float64(max(tokens, 0)), float64(max(cached, 0))
	return features{1, n / thousand, n * (before + n/2) / million}
}

const thousand, million = 1e3, 1e6

// fit is a weighted least-squares fit of microseconds to features, regularized towards the initial
// values.
type fit struct {
	xx [3][3]float64
	xy [3]float64
}

func (f *fit) add(x features, y, weight float64) {
	for i := range x {
		for j := range x {
			f.xx[i][j] += weight * x[i] * x[j]
		}
		f.xy[i] += weight * x[i] * y
	}
}

func (f *fit) decay(keep float64) {
	for i := range f.xx {
		for j := range f.xx[i] {
			f.xx[i][j] *= keep
		}
		f.xy[i] *= keep
	}
}

// ridge is the regularization weight of each coefficient's initial value, equal to that of one
// observation of a prompt of 1,000 tokens without cached tokens.
const ridgeWeight = 1.0

// solve returns the non-negative coefficients, by Gaussian elimination.
func (f *fit) solve(start features) features {
	a, b := f.xx, f.xy
	for i := range a {
		a[i][i] += ridgeWeight
		b[i] += ridgeWeight * start[i]
	}
	for i := range a {
		for j := i + 1; j < len(a); j++ {
			m := a[j][i] / a[i][i]
			for k := i; k < len(a); k++ {
				a[j][k] -= m * a[i][k]
			}
			b[j] -= m * b[i]
		}
	}
	var out features
	for i := len(a) - 1; i >= 0; i-- {
		sum := b[i]
		for k := i + 1; k < len(a); k++ {
			sum -= a[i][k] * out[k]
		}
		out[i] = max(sum/a[i][i], 0)
	}
	return out
}

// dot returns the value of the fit for the features.
func (x features) dot(coefficients features) float64 {
	sum := 0.0
	for i := range x {
		sum += x[i] * coefficients[i]
	}
	return sum
}
