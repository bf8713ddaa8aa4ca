// Package enginemodel learns the latency of a service's engines from the requests they
// serve: the time to the first event, as a function of the prompt tokens to process and
// the running requests, and the time for which a request holds its slot. Engines are not
// configured; until samples arrive, the model uses the assumed constants. Edges and
// storage nodes use one EngineModel for each service.
//
// The package owns the learnt parameters, in memory. runnerset provides the samples and
// asks for the expected times. The package does no I/O and reads no clock.
//
// The time to the first event is a linear function, fitted by recursive least squares
// with exponential forgetting. The residual of an outlier is clipped to a multiple of
// the typical residual, so that a failing runner does not distort the model of the
// others.
package enginemodel

import (
	"math"
	"sync"
	"time"
)

// EngineModel is the latency model of one service's engines.
type EngineModel struct {
	mutex   sync.Mutex
	first   linearModel
	samples int
	// scale is the approximate median of the absolute residuals, in seconds.
	scale float64
	// hold is the moving average of the time for which a request holds its slot, in
	// seconds.
	hold float64
	// waitFactor is the moving average of the ratio of the actual wait for a slot to the
	// wait if slots came free at even intervals. The two differ because requests that
	// start together also end together.
	waitFactor float64
}

// EngineLoad is the load of a runner when a request is sent.
type EngineLoad struct {
	// Tokens is the number of prompt tokens to process before the first event, including
	// those of the request.
	Tokens float64
	// Running is the number of running requests.
	Running float64
}

const (
	// Initial estimates for an unknown engine, in seconds: the time to the first event
	// without load, its increase for each 1,000 tokens and for each running request, and
	// the time for which a request holds its slot.
	assumedBase       = 0.030
	assumedPerKToken  = 0.020
	assumedPerRunning = 0.0003
	assumedHold       = 0.4

	// runningUnit and tokensUnit scale the features to values around 1.
	runningUnit = 10.0
	tokensUnit  = 1000.0

	// initialVariance is the variance of the initial estimates relative to that of a
	// sample; they weigh as much as ten samples.
	initialVariance = 0.1
	// forgetting is the factor by which each new sample reduces the weight of the
	// earlier ones.
	forgetting = 0.995
	// outlierFactor bounds a residual to a multiple of scale. The first scaleSamples
	// samples are bounded by the expected value times, or divided by, earlyOutlierFactor
	// instead, since scale is not reliable yet.
	earlyOutlierFactor = 2.0
	outlierFactor      = 3.0
	scaleSamples       = 20
	// scaleStep is the relative change of scale for each sample, and minScale its lower
	// bound in seconds.
	scaleStep = 0.05
	minScale  = 0.001

	// holdWeight is the weight of a new sample of the hold time, and maxHoldFactor
	// bounds a sample to a multiple of the average.
	holdWeight    = 0.02
	maxHoldFactor = 5.0

	// waitWeight is the weight of a new sample of waitFactor, which is clamped to
	// minWaitFactor and maxWaitFactor. The weight is low because single waits vary
	// widely.
	waitWeight    = 0.01
	minWaitFactor = 0.3
	maxWaitFactor = 3.0
)

// New returns a model with the initial estimates.
func New() *EngineModel {
	assumed := newLinearModel([features]float64{assumedBase, assumedPerKToken, assumedPerRunning * runningUnit})
	return &EngineModel{first: assumed, hold: assumedHold, waitFactor: 1}
}

func (l EngineLoad) features() [features]float64 {
	return [features]float64{1, l.Tokens / tokensUnit, l.Running / runningUnit}
}

// ExpectedFirstEvent returns the expected time to the first event of a request sent at
// this load.
func (m *EngineModel) ExpectedFirstEvent(load EngineLoad) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return seconds(m.first.predict(load.features()))
}

// ObserveFirstEvent adds a sample of the time to a first event.
func (m *EngineModel) ObserveFirstEvent(load EngineLoad, took time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	x := load.features()
	expected := m.first.predict(x)
	residual := took.Seconds() - expected
	m.samples++
	m.updateScale(math.Abs(residual))
	lowest, highest := -expected/earlyOutlierFactor, earlyOutlierFactor*expected
	if m.samples > scaleSamples {
		lowest, highest = -outlierFactor*m.scale, outlierFactor*m.scale
	}
	residual = max(lowest, min(highest, residual))
	m.first.update(x, residual)
}

// updateScale moves scale towards the median with one sample.
func (m *EngineModel) updateScale(deviation float64) {
	switch {
	case m.samples == 1:
		m.scale = deviation
	case deviation > m.scale:
		m.scale *= 1 + scaleStep
	default:
		m.scale *= 1 - scaleStep
	}
	m.scale = max(m.scale, minScale)
}

// ExpectedWait returns the expected time until a slot is free for a request that has
// others ahead of it. ahead is their number as a share of the slots.
func (m *EngineModel) ExpectedWait(ahead float64) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return seconds(ahead * m.hold * m.waitFactor)
}

// ObserveWait adds a sample of the wait for a slot; ahead is as in ExpectedWait.
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

// ObserveHold adds a sample of the time for which a completed request held its slot.
func (m *EngineModel) ObserveHold(took time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	sample := min(took.Seconds(), maxHoldFactor*m.hold)
	m.hold += holdWeight * (sample - m.hold)
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
