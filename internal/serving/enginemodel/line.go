package enginemodel

// features is the number of features of a time to the first event: a constant 1, the
// tokens, and the running requests.
const features = 3

// linearModel is a linear function of the features, fitted by recursive least squares.
type linearModel struct {
	coefficients [features]float64
	// covariance is the covariance of the coefficients relative to the variance of a
	// sample.
	covariance [features][features]float64
}

func newLinearModel(assumed [features]float64) linearModel {
	l := linearModel{coefficients: assumed}
	for i := range features {
		l.covariance[i][i] = initialVariance
	}
	return l
}

// predict returns the value of the function. Negative coefficients count as 0, so that a
// higher load never reduces the expected time.
func (l *linearModel) predict(x [features]float64) float64 {
	value := 0.0
	for i, coefficient := range l.coefficients {
		value += max(0, coefficient) * x[i]
	}
	return value
}

// update adjusts the coefficients by the residual of a sample.
func (l *linearModel) update(x [features]float64, residual float64) {
	var spread [features]float64 // covariance times x
	denominator := forgetting
	for i := range features {
		for j := range features {
			spread[i] += l.covariance[i][j] * x[j]
		}
		denominator += x[i] * spread[i]
	}
	for i := range features {
		l.coefficients[i] += spread[i] / denominator * residual
	}
	trace := 0.0
	for i := range features {
		for j := range features {
			l.covariance[i][j] -= spread[i] * spread[j] / denominator
		}
		trace += l.covariance[i][i]
	}
	if trace > features*initialVariance {
		return // do not increase the variance of coefficients that the samples do not determine
	}
	for i := range features {
		for j := range features {
			l.covariance[i][j] /= forgetting
		}
	}
}
