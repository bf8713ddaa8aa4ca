package online

import (
	"context"
	"slices"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
	"cobaltramp.example/cobaltramp/internal/serving/streamorigin"
)

// StreamOrigins records and resolves the origins of streams; see streamorigin.Tracker.
type StreamOrigins interface {
	Record(ctx context.Context, stream streamorigin.Stream, record streamorigin.Record) *streamorigin.Recording
	Resolve(ctx context.Context, resumption *streamorigin.Resumption) (origin streamorigin.Origin, changed []string, err error)
	ChangedRunners(ctx context.Context, service string, window time.Duration) []string
}

// streamRecord is the last record of a stream's origin; zero before the first.
type streamRecord struct {
	record streamorigin.Record
	// recording is nil if no record is needed.
	recording *streamorigin.Recording
}

// resumes reports whether the caller has received a part of the stream from an earlier attempt.
func (s *activeRequest) resumes() bool {
	return s.request.Route.Kind == catalog.Streaming && s.request.ResumeAfter > 0
}

// resolveOrigin finds out where the stream began that the request resumes, and limits the
// request to that service and software version. It does nothing for other requests.
func (s *activeRequest) resolveOrigin(ctx context.Context) error {
	if s.Origins == nil || !s.resumes() {
		return nil
	}
	if s.request.Resumes != "" {
		s.service = s.request.Route.ServiceFor(s.request.Resumes)
	}
	origin, changed, err := s.Origins.Resolve(ctx, &streamorigin.Resumption{
		ID: s.request.ID, Attempt: s.request.Resumes, Content: uint64(s.work.Fingerprint), Service: s.service,
		Window: streamorigin.WindowOf(s.request.Route.Timeout),
	})
	if err != nil {
		s.lastCause = err.Error()
		return err
	}
	if !s.request.Route.HasService(origin.Service) {
		return result.New(result.StreamNotResumed, "the stream began at service %s, which its route no longer has", origin.Service).WithRetryAfter(retryDelay)
	}
	s.service, s.softwareVersion = origin.Service, origin.SoftwareVersion
	s.exclude(changed)
	return nil
}

// exclude excludes runners from further attempts.
func (s *activeRequest) exclude(runners []string) {
	for _, id := range runners {
		s.tried[id] = true
	}
}

// checkVersion prevents that a stream which broke off goes on at another software version because this
// node's list was behind. It returns an error if the runner that wrote the last events came back under
// its ID with another version, and excludes other such runners.
func (s *activeRequest) checkVersion(ctx context.Context) error {
	if s.Origins == nil || !s.history.responseStarted || s.request.Route.Kind != catalog.Streaming {
		return nil
	}
	changed := s.Origins.ChangedRunners(ctx, s.service, streamorigin.WindowOf(s.request.Route.Timeout))
	if slices.Contains(changed, s.current.runner.ID) {
		return result.New(result.StreamNotResumed, "runner %s came back with another software version", s.current.runner.ID)
	}
	s.exclude(changed)
	return nil
}

// recordOrigin sends the record of the stream that the attempt at a runner may begin, if the
// stream may be resumed. It does not wait.
func (s *activeRequest) recordOrigin(ctx context.Context, runner *runnerset.Runner) {
	if s.Origins == nil || s.request.Route.Kind != catalog.Streaming || !s.request.Route.Resumable || s.lastEvent > 0 {
		return
	}
	origin := streamorigin.Origin{Service: runner.Service, SoftwareVersion: runner.SoftwareVersion()}
	if s.recorded.record.Origin == origin && s.recorded.record.Runner == runner.ID {
		return
	}
	s.recorded.record = streamorigin.Record{Origin: origin, Sequence: s.recorded.record.Sequence + 1, Runner: runner.ID}
	s.recorded.recording = s.Origins.Record(ctx, streamorigin.Stream{
		Key: streamorigin.KeyOf(uint64(s.work.Fingerprint), s.request.ID), ID: s.request.ID,
		Window: streamorigin.WindowOf(s.request.Route.Timeout),
	}, s.recorded.record)
}

// versionGone reports whether the stream can't go on because no runner of its software version
// accepts work, while others of the service do.
func (s *activeRequest) versionGone() bool {
	if s.softwareVersion == "" {
		return false
	}
	for _, runner := range s.Runners.Service(s.service) {
		if runner.AcceptsWork() {
			return true
		}
	}
	return false
}
