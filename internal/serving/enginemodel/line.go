package enginemodel

// featureCount is the number of inputs of the model of the time to the first event: a
// constant 1, the prompt tokens to process in thousands, and the running requests in
// tens.
const featureCount = 3

// linearModel is a linear function of the features, fitted by recursive least squares.
// The samples and the function's value are in seconds.
type linearModel struct {
	coefficients [featureCount]float64
	// covariance is the estimated covariance of the coefficients, divided by the
	// variance of one sample's noise.
	covariance [featureCount][featureCount]float64
}

func newLinearModel(assumed [featureCount]float64) linearModel {
	l := linearModel{coefficients: assumed}
	for i := range featureCount {
		l.covariance[i][i] = initialVariance
	}
	return l
}

// predict returns the value of the function at x. Negative coefficients count as 0, so
// that a higher load never reduces the expected time.
func (l *linearModel) predict(x [featureCount]float64) float64 {
	value := 0.0
	for i, coefficient := range l.coefficients {
		value += max(0, coefficient) * x[i]
	}
	return value
}

// update adjusts the coefficients and their covariance by one sample. x holds the
// features of the sample; residual is its observed value minus predict(x), and may be
// clipped by the caller.
func (l *linearModel) update(x [featureCount]float64, residual float64) {
	var covarianceX [featureCount]float64 // covariance times x
	denominator := forgettingFactor
	for i := range featureCount {
		for j := range featureCount {
			covarianceX[i] += l.covariance[i][j] * x[j]
		}
		denominator += x[i] * covarianceX[i]
	}
	for i := range featureCount {
		l.coefficients[i] += covarianceX[i] / denominator * residual
	}
	trace := 0.0
	for i := range featureCount {
		for j := range featureCount {
			l.covariance[i][j] -= covarianceX[i] * covarianceX[j] / denominator
		}
		trace += l.covariance[i][i]
	}
	if trace > featureCount*initialVariance {
		// Without new information, forgetting would increase the variance of a
		// coefficient without bound.
		return
	}
	for i := range featureCount {
		for j := range featureCount {
			l.covariance[i][j] /= forgettingFactor
		}
	}
}
