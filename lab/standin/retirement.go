package standin

import (
	"encoding/json"
	"time"
)

const (
	retirementPrefix       = "op/retire/"
	retirementStatusPrefix = "status/retire/"
	retirementCompleted    = "completed"
)

// RequestRetirement asks for the retirement of a storage node within a time, as an operator does.
func (s *Store) RequestRetirement(node string, within time.Duration) {
	s.Put(retirementPrefix+node, map[string]any{"duration_s": within.Seconds()})
}

// WithdrawRetirement takes the request for a node's retirement back.
func (s *Store) WithdrawRetirement(node string) { s.Remove(retirementPrefix + node) }

// Retired reports whether a node's retirement was reported as complete.
func (s *Store) Retired(node string) bool {
	var status struct {
		State string `json:"state"`
	}
	value := s.Value(retirementStatusPrefix + node)
	return value != nil && json.Unmarshal(value, &status) == nil && status.State == retirementCompleted
}
