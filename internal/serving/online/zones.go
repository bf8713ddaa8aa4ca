package online

import (
	"math"
	"math/rand/v2"
	"time"

	"cobaltramp.example/cobaltramp/internal/serving/retryafter"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
	"cobaltramp.example/cobaltramp/internal/serving/zoneload"
)

// inTimeShare is the share of a route's target within which a first event is in time. A
// request whose first event is expected later may be sent to another zone. It is below
// fullTargetShare, so that a request is sent to a zone with room before one is refused.
const inTimeShare = 0.5

// ZoneBalancer decides to which zone a request is sent.
type ZoneBalancer interface {
	// Draw draws the zone for a request of a service; random is from 0 to 1.
	Draw(service string, random float64, now time.Time) zoneload.Target
}

// drawZone draws the target zone of the request. Only a first attempt at a new request
// draws one: a retry or a resumed stream that is sent to the wrong zone would be late
// twice.
func (s *activeRequest) drawZone(criteria *runnerset.Criteria) {
	s.crossing = 0
	first := len(s.tried) == 0 && s.request.ResumeAfter < 0 && retryafter.IsFirstAttempt(s.request.StatedTimeout, s.usualTimeout)
	if s.Zones == nil || !first {
		return
	}
	now := time.Now()
	drawn := s.Zones.Draw(criteria.Service, rand.Float64(), now)
	s.crossing = drawn.Crossing
	if drawn.Zone == "" || drawn.Zone == s.Zone {
		return
	}
	inTime := time.Duration(inTimeShare * float64(s.request.Route.Target))
	criteria.Target = &runnerset.TargetZone{Zone: drawn.Zone, Free: drawn.Free, InTime: inTime - now.Sub(s.request.Received)}
}

// crossingPercent returns crossing as a percentage, for the log.
func (s *activeRequest) crossingPercent() int { return int(math.Round(100 * s.crossing)) }
