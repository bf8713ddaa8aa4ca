// Package shardstatus formats the status of shard replicas for log lines, error messages,
// metrics and the command line. The status itself is a message of package wirev1, which
// packages replica, shardhost and queuestore fill in.
package shardstatus

import (
	"fmt"
	"strings"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// StateName returns the short name of a state, such as "no_votes".
func StateName(state wirev1.ServingState) string {
	return shortName(state.String(), "SERVING_STATE_")
}

// RefusalName returns the short name of a refusal, such as "log_behind".
func RefusalName(refusal wirev1.VoteRefusal) string {
	return shortName(refusal.String(), "VOTE_REFUSAL_")
}

// DiskStateName returns the short name of a state of a disk, such as "lost".
func DiskStateName(state wirev1.DiskState) string { return shortName(state.String(), "DISK_STATE_") }

func shortName(name, prefix string) string { return strings.ToLower(strings.TrimPrefix(name, prefix)) }

// Served reports whether a replica in this state sees a leader that serves.
func Served(state wirev1.ServingState) bool {
	return state == wirev1.ServingState_SERVING_STATE_SERVING || state == wirev1.ServingState_SERVING_STATE_FOLLOWING
}

// Judges reports whether a replica in this state is expected to see a leader that serves.
// Learners and former members are not.
func Judges(state wirev1.ServingState) bool {
	switch state {
	case wirev1.ServingState_SERVING_STATE_UNSPECIFIED, wirev1.ServingState_SERVING_STATE_LEARNER, wirev1.ServingState_SERVING_STATE_NOT_MEMBER:
		return false
	default:
		return true
	}
}

// Duration formats a duration with a resolution of 0.1 s.
func Duration(d time.Duration) string { return fmt.Sprintf("%.1fs", d.Seconds()) }

// Age formats an age in milliseconds; "never" if it is negative.
func Age(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return Duration(time.Duration(ms) * time.Millisecond)
}

// Ago formats the age of an event in milliseconds with "ago"; "never" if it is negative.
func Ago(ms int64) string {
	if ms < 0 {
		return Age(ms)
	}
	return Age(ms) + " ago"
}
