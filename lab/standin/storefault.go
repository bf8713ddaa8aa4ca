package standin

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// StoreFault configures the faults of the store; the zero value has none.
type StoreFault struct {
	// Silent accepts connections and never responds.
	Silent bool
	// Busy responds to every call with status 503.
	Busy bool
	// Reset closes connections without a response.
	Reset bool
	// Slow is the delay of each response.
	Slow time.Duration
	// LoseWrites applies transactions and loses the responses.
	LoseWrites bool
	// StaleBehind is the number of revisions by which stale reads lag.
	StaleBehind int64
	// Throttle responds to every call with status 429.
	Throttle bool
}

// SetFault sets the fault for all machines without a fault of their own.
func (s *Store) SetFault(fault StoreFault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = fault
	s.notifyWatchers()
}

// SetMachineFault sets the fault for one machine, which calls the store at the address
// from AddressFor. The zero value removes the fault of the machine.
func (s *Store) SetMachineFault(machine string, fault StoreFault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.machineFaults[machine] = fault
	s.notifyWatchers()
}

// machineKey is the context key of the name of the calling machine.
type machineKey struct{}

// faultFor returns the fault that applies to a call.
func (s *Store) faultFor(request *http.Request) StoreFault {
	machine, _ := request.Context().Value(machineKey{}).(string)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if fault, found := s.machineFaults[machine]; found && fault != (StoreFault{}) {
		return fault
	}
	return s.fault
}

// withFaults counts each call and applies the current fault to it.
func (s *Store) withFaults(machine string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		request = request.WithContext(context.WithValue(request.Context(), machineKey{}, machine))
		fault := s.faultFor(request)
		kind := strings.TrimPrefix(strings.TrimPrefix(request.URL.Path, "/-/kv-"), "/-/")
		s.mutex.Lock()
		s.calls[kind]++
		s.mutex.Unlock()
		switch {
		case fault.Silent:
			// The server detects a disconnected client only once the body has been read.
			_, _ = io.Copy(io.Discard, request.Body)
			<-request.Context().Done()
			return
		case fault.Busy:
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		case fault.Throttle:
			writer.WriteHeader(http.StatusTooManyRequests)
			return
		case fault.Reset:
			panic(http.ErrAbortHandler)
		}
		if fault.Slow > 0 {
			time.Sleep(fault.Slow)
		}
		next.ServeHTTP(writer, request)
	})
}
