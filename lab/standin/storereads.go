package standin

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"time"
)

// writeJSON responds with a status and a JSON body.
func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value) // fails only if the client has disconnected
}

// readItems returns the items that a read sees, and their revision. The caller holds
// the mutex.
func (s *Store) readItems(request *http.Request) (map[string]storeItem, int64) {
	if request.URL.Query().Get("stale") == "1" {
		return s.itemsBehind(s.fault.StaleBehind)
	}
	return s.items, s.revision
}

// itemsBehind returns the items as of a revision that lags the current one by a number
// of revisions, at the most back to the last compaction, and that revision.
func (s *Store) itemsBehind(behind int64) (map[string]storeItem, int64) {
	at := max(s.compactedRevision, s.revision-behind)
	if behind == 0 || at >= s.revision {
		return s.items, s.revision
	}
	items := map[string]storeItem{}
	for key, item := range s.items {
		if item.Rev <= at {
			items[key] = item
		}
	}
	for _, item := range s.history {
		if item.Rev <= at && !item.Gone {
			items[item.Key] = item
		}
	}
	return items, at
}

func (s *Store) serveKey(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	items, at := s.readItems(request)
	item, found := items[request.URL.Query().Get("private_key")]
	s.mutex.Unlock()
	if !found {
		writeJSON(writer, http.StatusNotFound, map[string]any{"at": at})
		return
	}
	writeJSON(writer, http.StatusOK, struct {
		storeItem
		At int64 `json:"at"`
	}{item, at})
}

// pageSize is the number of items in a page; it is small so that lists span several
// pages.
const pageSize = 5

func (s *Store) serveRange(writer http.ResponseWriter, request *http.Request) {
	prefix, after := request.URL.Query().Get("path_prefix"), request.URL.Query().Get("since_rev")
	s.mutex.Lock()
	all, at := s.readItems(request)
	var items []storeItem
	for key, item := range all {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	s.mutex.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	writeJSON(writer, http.StatusOK, map[string]any{"items": items, "more": more, "at": at})
}

func (s *Store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	since, sinceErr := parseOptionalInt(query.Get("since_rev"))
	wait, waitErr := parseOptionalInt(query.Get("wait_ms"))
	if sinceErr != nil || waitErr != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		events, compacted, at, changed := s.eventsAfter(query.Get("path_prefix"), since), since < s.compactedRevision, s.revision, s.changed
		s.mutex.Unlock()
		if compacted {
			writeJSON(writer, http.StatusGone, struct{}{})
			return
		}
		if len(events) > 0 {
			writeJSON(writer, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(writer, http.StatusOK, map[string]any{"events": []storeItem{}, "at": at})
			return
		case <-request.Context().Done():
			return
		}
		if fault := s.faultFor(request); fault.Silent {
			<-request.Context().Done()
			return
		} else if fault.Reset {
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *Store) eventsAfter(prefix string, since int64) []storeItem {
	var events []storeItem
	for _, item := range s.history {
		if item.Rev > since && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events
}
