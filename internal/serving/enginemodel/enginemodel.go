// Package enginemodel learns the latency of a service's engines from the requests they
// serve. An engine is the inference server of a runner; a slot is its capacity for one
// running request. The model predicts the time to the first event, as a function of the
// prompt tokens to process and the running requests, and the wait for a slot at a full
// runner. Engines are not configured; until samples arrive, the model uses the assumed
// constants. Edges and storage nodes use one EngineModel for each service.
//
// The package owns the learnt parameters, in memory. runnerset provides the samples and
// asks for the expected times. The package does no I/O and reads no clock.
//
// The time to the first event is a linear function, fitted by recursive least squares
// with exponential forgetting. A residual is the difference between the observed and the
// predicted time of a sample. Large residuals are clipped, so that a failing runner does
// not distort the model of the others.
package enginemodel

import (
	"math"
	"sync"
	"time"
)

// EngineModel is the latency model of one service's engines. It is safe for concurrent
// use.
type EngineModel struct {
	mutex             sync.Mutex
	firstEvent        linearModel
	firstEventSamples int
	// scale is the approximate median of the absolute residuals, in seconds.
	residualScale float64
	// hold is the moving average of the time for which a request occupies a slot, in
	// seconds.
	hold float64
	// waitFactor is the moving average of the actual wait for a slot, divided by the
	// wait that would result if slots became free at even intervals. The two waits
	// differ because requests that start together also end together.
	waitFactor float64
}

// EngineLoad is the load of a runner when a request is sent to it.
type EngineLoad struct {
	// Tokens is the number of prompt tokens to process before the first event, including
	// those of the request.
	Tokens float64
	// Running is the number of running requests, without the request itself.
	Running float64
}

const (
	// These are the initial estimates for an unknown engine, in seconds: the time to the
	// first event without load, its increase for each 1,000 tokens and for each running
	// request, and the time for which a request occupies a slot.
	assumedBase       = 0.030
	assumedPerKToken  = 0.020
	assumedPerRunning = 0.0003
	assumedHold       = 0.4

	// runningUnit and tokensUnit scale the features to values around 1.
	runningUnit = 10.0
	tokensUnit  = 1000.0

	// initialVariance is the variance of each initial coefficient, divided by the
	// variance of one sample's noise. A coefficient thus weighs as much as ten samples
	// whose feature is 1.
	initialVariance = 0.1
	// forgetting is the factor by which each new sample reduces the weight of the
	// earlier ones.
	forgettingFactor = 0.995
	// outlierFactor limits the absolute residual to a multiple of residualScale. That
	// scale is not yet reliable for the first scaleSamples samples; their residuals are
	// limited to the range from -expected/earlyOutlierFactor to
	// expected*earlyOutlierFactor, where expected is the predicted time.
	earlyOutlierFactor = 2.0
	outlierFactor      = 3.0
	scaleSamples       = 20
	// scaleStep is the relative change of residualScale for each sample, and minScale is
	// the lower bound of residualScale, in seconds.
	scaleStep = 0.05
	minScale  = 0.001

	// holdWeight is the weight of a new sample of the hold time, and maxHoldFactor
	// limits a sample to a multiple of the average.
	holdWeight    = 0.02
	maxHoldFactor = 5.0

	// waitWeight is the weight of a new sample of waitFactor; it is low because single
	// waits vary widely. Samples are clamped to minWaitFactor and maxWaitFactor.
	waitWeight    = 0.01
	minWaitFactor = 0.3
	maxWaitFactor = 3.0
)

// New returns a model with the initial estimates.
func New() *EngineModel {
	assumed := newLinearModel([featureCount]float64{assumedBase, assumedPerKToken, assumedPerRunning * runningUnit})
	return &EngineModel{firstEvent: assumed, hold: assumedHold, waitFactor: 1}
}

// features returns the inputs of the linear model: a constant 1 and the scaled load.
func (l EngineLoad) features() [featureCount]float64 {
	return [featureCount]float64{1, l.Tokens / tokensUnit, l.Running / runningUnit}
}

// ExpectedFirstEvent returns the expected time to the first event of a request that is
// sent at this load and finds a free slot.
func (m *EngineModel) ExpectedFirstEvent(load EngineLoad) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return seconds(m.firstEvent.predict(load.features()))
}

// ObserveFirstEvent adds a sample: the time from sending a request at this load to its
// first event. The request must have found a free slot.
func (m *EngineModel) ObserveFirstEvent(load EngineLoad, took time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	x := load.features()
	expected := m.firstEvent.predict(x)
	residual := took.Seconds() - expected
	m.firstEventSamples++
	m.updateResidualScale(math.Abs(residual))
	lowest, highest := -expected/earlyOutlierFactor, earlyOutlierFactor*expected
	if m.firstEventSamples > scaleSamples {
		lowest, highest = -outlierFactor*m.residualScale, outlierFactor*m.residualScale
	}
	residual = max(lowest, min(highest, residual))
	m.firstEvent.update(x, residual)
}

// updateResidualScale moves residualScale towards the median by one absolute residual.
// The caller holds the mutex.
func (m *EngineModel) updateResidualScale(deviation float64) {
	switch {
	case m.firstEventSamples == 1:
		m.residualScale = deviation
	case deviation > m.residualScale:
		m.residualScale *= 1 + scaleStep
	default:
		m.residualScale *= 1 - scaleStep
	}
	m.residualScale = max(m.residualScale, minScale)
}

// ExpectedWait returns the expected time until a slot becomes free for a request. ahead
// is the number of other requests that must end first, divided by the number of slots.
func (m *EngineModel) ExpectedWait(ahead float64) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return seconds(ahead * m.hold * m.waitFactor)
}

// ObserveWait adds a sample of the wait for a slot; ahead is as in ExpectedWait. Samples
// with ahead = 0 are ignored.
func (m *EngineModel) ObserveWait(ahead float64, took time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	evenWait := ahead * m.hold
	if evenWait <= 0 {
		return
	}
	sample := min(max(took.Seconds()/evenWait, minWaitFactor), maxWaitFactor)
	m.waitFactor += waitWeight * (sample - m.waitFactor)
}

// ObserveHold adds a sample of the time for which a request that has ended occupied its
// slot.
func (m *EngineModel) ObserveHold(took time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	sample := min(took.Seconds(), maxHoldFactor*m.hold)
	m.hold += holdWeight * (sample - m.hold)
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
