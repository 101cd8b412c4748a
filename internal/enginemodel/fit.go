package enginemodel

// features are the inputs of the linear model of the prefill time: the constant 1, the number of tokens in
// thousands, and the number of pairs of a token and an earlier one in millions, which determines the time
// for attention.
type features [3]float64

// featuresOf returns the features of a prompt with cached tokens followed by tokens to prefill.
func featuresOf(tokens, cached int) features {
	n, before := float64(max(tokens, 0)), float64(max(cached, 0))
	return features{1, n / thousand, n * (before + n/2) / million}
}

const thousand, million = 1e3, 1e6

// fit is a weighted least-squares fit of prefill times in microseconds to features, with ridge
// regularization towards initial coefficients. The fields are the sums of the normal equations.
type fit struct {
	xx [3][3]float64
	xy [3]float64
}

// add adds an observation y of the features x.
func (f *fit) add(x features, y, weight float64) {
	for i := range x {
		for j := range x {
			f.xx[i][j] += weight * x[i] * x[j]
		}
		f.xy[i] += weight * x[i] * y
	}
}

// decay multiplies the weight of all earlier observations by a factor.
func (f *fit) decay(factor float64) {
	for i := range f.xx {
		for j := range f.xx[i] {
			f.xx[i][j] *= factor
		}
		f.xy[i] *= factor
	}
}

// ridgeWeight is the weight of the regularization towards each initial coefficient, equal to that of one
// observation of a prompt of 1,000 tokens without cached tokens.
const ridgeWeight = 1.0

// solve returns the coefficients of the fit, regularized towards the initial ones, by Gaussian elimination.
// Negative coefficients are replaced by 0.
func (f *fit) solve(initial features) features {
	a, b := f.xx, f.xy
	for i := range a {
		a[i][i] += ridgeWeight
		b[i] += ridgeWeight * initial[i]
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

// dot returns the dot product of the features and the coefficients: the estimated time in microseconds.
func (x features) dot(coefficients features) float64 {
	sum := 0.0
	for i := range x {
		sum += x[i] * coefficients[i]
	}
	return sum
}
