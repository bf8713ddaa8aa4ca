package queue

import (
	"bytes"
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

// memoryStore is a StateStore in memory.
type memoryStore map[string][]byte

func (m memoryStore) Get(key []byte) ([]byte, error) { return m[string(key)], nil }

func (m memoryStore) Set(key, value []byte) error {
	m[string(key)] = append([]byte{}, value...)
	return nil
}

func (m memoryStore) Delete(key []byte) error {
	delete(m, string(key))
	return nil
}

func (m memoryStore) DeleteRange(from, to []byte) error {
	for key := range m {
		if key >= string(from) && key < string(to) {
			delete(m, key)
		}
	}
	return nil
}

func (m memoryStore) Scan(from, to []byte, visit func(key, value []byte) bool) error {
	var keys []string
	for key := range m {
		if key >= string(from) && key < string(to) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		if !visit([]byte(key), m[key]) {
			return nil
		}
	}
	return nil
}

func jobOf(id string, items int) *wirev1.QueueJob {
	job := &wirev1.QueueJob{Id: id, Host: "h", Route: "r"}
	for i := range items {
		job.Items = append(job.Items, &wirev1.QueueItem{Id: fmt.Sprintf("%s-%d", id, i), Body: []byte(id), Tokens: 1})
	}
	return job
}

// model is the expected state, against which the state machine is checked.
type model struct {
	items  map[string]int      // number of items of each accepted job
	listed map[string][]string // item IDs of each job's results, by position
	ended  map[string]bool
}

// textUpTo returns the text of an item's events up to and including an event. The data of
// some events is empty.
func textUpTo(item string, upTo int64) []byte {
	var output ItemOutput
	for id := int64(1); id <= upTo; id++ {
		text := fmt.Sprintf("%s:%d", item, id)
		if id%3 == 0 {
			text = ""
		}
		output.Append(id, []byte(text))
	}
	return output.Text
}

// textBetween returns the text of the events after from, up to and including last.
func textBetween(item string, from, last int64) []byte {
	whole := textUpTo(item, last)
	if from == 0 {
		return whole
	}
	return bytes.TrimPrefix(whole, append(textUpTo(item, from), '\n'))
}

const itemEvents = 7

// A job is accepted once, results keep their position and content, and no result is
// added after a job's end. A result's text is the item's whole output, whichever parts
// were saved, lost, resent or reordered.
func TestStateMachineInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := memoryStore{}
		m := model{items: map[string]int{}, listed: map[string][]string{}, ended: map[string]bool{}}
		jobs := []string{"a", "ab", "b"}
		index := uint64(0)
		steps := rapid.IntRange(1, 80).Draw(t, "steps")
		for range steps {
			index++
			job := rapid.SampledFrom(jobs).Draw(t, "job")
			item := uint32(rapid.IntRange(0, 3).Draw(t, "item"))
			id := fmt.Sprintf("%s-%d", job, item)
			from := int64(rapid.IntRange(0, itemEvents).Draw(t, "from"))
			switch rapid.SampledFrom([]string{"accept", "finish", "finish", "progress", "progress", "dead", "end", "wrong"}).Draw(t, "command") {
			case "accept":
				items := rapid.IntRange(1, 4).Draw(t, "items")
				applied, err := Apply(store, index, &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Accept{Accept: jobOf(job, items)}})
				check(t, err == nil, "accept fails")
				_, known := m.items[job]
				check(t, applied.AlreadyAccepted == known, "a job is accepted twice, or not at all")
				if !known {
					m.items[job] = items
				}
			case "finish":
				m.finish(t, store, index, &wirev1.QueueResult{JobId: job, Item: item, ItemId: id, From: from, Last: itemEvents, Text: textBetween(id, from, itemEvents)})
			case "dead":
				m.finish(t, store, index, &wirev1.QueueResult{JobId: job, Item: item, ItemId: id, Dead: true})
			case "wrong":
				m.finish(t, store, index, &wirev1.QueueResult{JobId: job, Item: item, ItemId: "b-9", Last: itemEvents, Text: []byte("x")})
			case "progress":
				saved, err := Progress(store, job, item)
				check(t, err == nil, "progress is unreadable")
				from = rapid.SampledFrom([]int64{0, saved.Last, from}).Draw(t, "part from")
				last := min(from+int64(rapid.IntRange(0, 3).Draw(t, "more")), itemEvents)
				command := &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Progress{Progress: &wirev1.QueueResults{Results: []*wirev1.QueueResult{{
					JobId: job, Item: item, ItemId: id, From: from, Last: last, Text: textBetween(id, from, last),
				}}}}}
				_, err = Apply(store, index, command)
				check(t, err == nil, "progress fails")
				after, err := Progress(store, job, item)
				check(t, err == nil && after.Last >= saved.Last, "progress goes back")
				check(t, bytes.Equal(after.Text, textUpTo(id, after.Last)), "progress is not the output so far: "+string(after.Text))
			case "end":
				// Nodes of earlier builds propose ends without a time, which are not
				// remembered for jobs that do not exist.
				proposed := int64(rapid.IntRange(0, 1).Draw(t, "proposed"))
				applied, err := Apply(store, index, &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_End{End: job}, ProposedUnixMs: proposed})
				check(t, err == nil, "end fails")
				_, known := m.items[job]
				check(t, (applied.Record != nil) == known, "an end command does not report whether the job exists")
				m.ended[job] = m.ended[job] || known || proposed > 0
			}
			m.compare(t, store)
		}
	})
}

func check(t *rapid.T, ok bool, what string) {
	if !ok {
		t.Fatalf("%s", what)
	}
}

func (m *model) finish(t *rapid.T, store StateStore, index uint64, result *wirev1.QueueResult) {
	applied, err := Apply(store, index, &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Finish{Finish: &wirev1.QueueResults{Results: []*wirev1.QueueResult{result}}}})
	check(t, err == nil, "finish fails")
	for _, finished := range applied.Finished {
		check(t, !m.ended[finished.JobId], "a result is added after the job's end")
		check(t, int(finished.Item) < m.items[finished.JobId], "a result is added for an item that does not exist")
		m.listed[finished.JobId] = append(m.listed[finished.JobId], finished.ItemId)
	}
}

func (m *model) compare(t *rapid.T, store StateStore) {
	for job, listed := range m.listed {
		results, err := Results(store, job, 0, 1<<20)
		check(t, err == nil && len(results) == len(listed), "a result is lost")
		seen := map[string]bool{}
		for position, result := range results {
			check(t, result.ItemId == listed[position], "a position changed")
			check(t, !seen[result.ItemId], "an item has two results")
			seen[result.ItemId] = true
			if !result.Dead {
				check(t, bytes.Equal(result.Text, textUpTo(result.ItemId, itemEvents)), "a text is not the whole output: "+string(result.Text))
			}
			again, err := Results(store, job, uint32(position), 1)
			check(t, err == nil && len(again) > 0 && again[0].ItemId == result.ItemId, "a read from a position differs")
		}
	}
	for job, items := range m.items {
		for number := range items {
			item, err := Item(store, job, uint32(number))
			unlisted := !contains(m.listed[job], fmt.Sprintf("%s-%d", job, number)) && !m.ended[job]
			check(t, err == nil && (item != nil) == unlisted, "an unfinished item has no body, or a finished item has one")
		}
	}
}

func contains(list []string, wanted string) bool {
	for _, item := range list {
		if item == wanted {
			return true
		}
	}
	return false
}

// Guards against runs of a job that its caller has ended before it was accepted: the submission may
// still be under way. The job is then accepted as ended, with all of its items.
func TestEndBeforeAcceptanceHolds(t *testing.T) {
	is := is.New(t)
	store := memoryStore{}
	applied, err := Apply(store, 1, &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_End{End: "a"}, ProposedUnixMs: 5})
	is.NoErr(err)
	is.True(applied.Record == nil && applied.EndedEarly != nil)
	applied, err = Apply(store, 2, &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Accept{Accept: jobOf("a", 2)}})
	is.NoErr(err)
	is.True(!applied.AlreadyAccepted && applied.Record.Ended)
	is.Equal(len(applied.Record.Items), 2)
	item, err := Item(store, "a", 0)
	is.NoErr(err)
	is.True(item == nil)
	applied, err = Apply(store, 3, &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Accept{Accept: jobOf("a", 2)}})
	is.NoErr(err)
	is.True(applied.AlreadyAccepted)
}

// Guards against items that are sent to runners more often than their attempts allow because a later
// leader counts their failures anew: the number is part of the state and never decreases.
func TestFailuresSurviveTheLeader(t *testing.T) {
	is := is.New(t)
	store := memoryStore{}
	_, err := Apply(store, 1, &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Accept{Accept: jobOf("a", 2)}})
	is.NoErr(err)
	for _, failures := range []uint32{1, 2, 1} {
		failure := &wirev1.QueueFailure{JobId: "a", Item: 1, Failures: failures}
		_, err = Apply(store, 2, &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Failure{Failure: failure}})
		is.NoErr(err)
	}
	record, err := Record(store, "a")
	is.NoErr(err)
	table := NewItemTable()
	table.Add(record, time.Now(), time.Now())
	is.Equal(table.Entry(ItemKey{"a", 0}).Failures, 0)
	is.Equal(table.Entry(ItemKey{"a", 1}).Failures, 2)
	_, err = Apply(store, 3, &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Failure{Failure: &wirev1.QueueFailure{JobId: "gone", Item: 7, Failures: 1}}})
	is.NoErr(err)
}

// Dropping a job deletes all of its rows and none of another job.
func TestDropDeletesOnlyTheJobsRows(t *testing.T) {
	is := is.New(t)
	store := memoryStore{}
	for index, job := range []string{"a", "ab"} {
		_, err := Apply(store, uint64(index), &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Accept{Accept: jobOf(job, 2)}})
		is.NoErr(err)
	}
	_, err := Apply(store, 3, &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Drop{Drop: &wirev1.QueueDrop{JobIds: []string{"a"}}}})
	is.NoErr(err)
	gone, err := Record(store, "a")
	is.NoErr(err)
	is.True(gone == nil)
	is.Equal(len(store), 3) // the record and the two items of the other job
}

func tableOf(now time.Time, items ...*wirev1.QueueItemInfo) (*ItemTable, *wirev1.QueueRecord) {
	table := NewItemTable()
	record := &wirev1.QueueRecord{Id: "j", Route: "r", AcceptedUnixMs: now.UnixMilli(), DueAfterMs: 20000, GiveUpMs: 60000, Items: items}
	table.Add(record, now, now)
	return table, record
}

func ids(entries []*ItemEntry) []string {
	var list []string
	for _, entry := range entries {
		list = append(list, entry.ID)
	}
	return list
}

// Started items come before unstarted ones, and items that can meet their due time
// before those that can't.
func TestReadyOrder(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table, _ := tableOf(now,
		&wirev1.QueueItemInfo{Id: "fresh", OutputTokens: 600},
		&wirev1.QueueItemInfo{Id: "begun", OutputTokens: 600},
		&wirev1.QueueItemInfo{Id: "long", OutputTokens: 6_000_000},
	)
	table.Start(ItemKey{"j", 1})
	table.Requeue(ItemKey{"j", 1}, ItemOutput{LastEventID: 3, Text: []byte("x")}, false, now)
	is.Equal(ids(table.Ready(now)), []string{"begun", "fresh", "long"})
	table.Start(ItemKey{"j", 0})
	is.Equal(ids(table.Ready(now)), []string{"begun", "long"})
	is.Equal(ids(table.Ready(now.Add(time.Hour))), []string{"begun", "long"}) // both are late
}

// An item's tokens count as waiting until it has a result or its job ends.
func TestWaitingTokens(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table, record := tableOf(now, &wirev1.QueueItemInfo{Id: "a", Tokens: 5}, &wirev1.QueueItemInfo{Id: "b", Tokens: 7}, &wirev1.QueueItemInfo{Id: "c", Tokens: 9, Position: 1})
	is.Equal(table.Waiting(TokenAccount{Route: "r"}), uint64(12))
	table.Add(record, now, now) // adding the job again changes nothing
	is.Equal(table.Waiting(TokenAccount{Route: "r"}), uint64(12))
	table.Finish(ItemKey{"j", 0})
	table.Finish(ItemKey{"j", 0})
	is.Equal(table.Waiting(TokenAccount{Route: "r"}), uint64(7))
	table.End("j")
	is.Equal(table.Waiting(TokenAccount{Route: "r"}), uint64(0))
	is.True(!table.HasUnfinished("j"))
}

// An item does not expire early after the wall clock jumped back.
func TestExpiry(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := NewItemTable()
	table.Add(&wirev1.QueueRecord{Id: "j", AcceptedUnixMs: now.Add(time.Hour).UnixMilli(), DueAfterMs: 20000, GiveUpMs: 60000, Items: []*wirev1.QueueItemInfo{{Id: "a"}}}, now, now)
	is.Equal(len(table.Expired(now.Add(59*time.Second))), 0)
	is.Equal(len(table.Expired(now.Add(61*time.Second))), 1)
}

// The parts that are appended to the log join to the whole output, even if some of them
// are lost.
func TestUnsavedPartsJoinToTheOutput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		table, _ := tableOf(now, &wirev1.QueueItemInfo{Id: "j-0"})
		store := memoryStore{}
		job := jobOf("j", 1)
		_, err := Apply(store, 1, &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Accept{Accept: job}})
		check(t, err == nil, "accept fails")
		key := ItemKey{"j", 0}
		for last := int64(1); last <= itemEvents; last++ {
			output := ItemOutput{LastEventID: last, Text: textUpTo("j-0", last)}
			from, text := table.Unsaved(key, output)
			part := &wirev1.QueueResult{JobId: "j", ItemId: "j-0", From: from, Last: last, Text: text}
			if last < itemEvents {
				if rapid.Bool().Draw(t, "lost") {
					continue
				}
				applied, err := Apply(store, uint64(last), &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Progress{Progress: &wirev1.QueueResults{Results: []*wirev1.QueueResult{part}}}})
				check(t, err == nil, "progress fails")
				if len(applied.Rejected) > 0 {
					table.ResetSaved(key)
				}
				continue
			}
			finish := func(result *wirev1.QueueResult) *ApplyResult {
				applied, err := Apply(store, 99, &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Finish{Finish: &wirev1.QueueResults{Results: []*wirev1.QueueResult{result}}}})
				check(t, err == nil, "finish fails")
				return applied
			}
			if applied := finish(part); len(applied.Rejected) > 0 {
				finish(&wirev1.QueueResult{JobId: "j", ItemId: "j-0", Last: last, Text: output.Text})
			}
		}
		results, err := Results(store, "j", 0, 1<<20)
		check(t, err == nil && len(results) == 1 && bytes.Equal(results[0].Text, textUpTo("j-0", itemEvents)), "the text is not whole")
	})
}

// The average bounds an excessive estimate, so that the item isn't treated as late from
// the start.
func TestAverageBoundsTheEstimate(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table, _ := tableOf(now, &wirev1.QueueItemInfo{Id: "known", OutputTokens: 1200}, &wirev1.QueueItemInfo{Id: "far off", OutputTokens: 50_000})
	table.Observe(table.Entry(ItemKey{"j", 0}), 200, 5*time.Second)
	slack := table.Slack(table.Entry(ItemKey{"j", 1}), now)
	is.True(slack > 0)                                              // estimated at twice the average, not at forty times
	is.True(slack < table.Slack(table.Entry(ItemKey{"j", 0}), now)) // still estimated to take longer than the others
}
