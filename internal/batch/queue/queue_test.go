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

// memory is a store in a map.
type memory map[string][]byte

func (m memory) Get(key []byte) ([]byte, error) { return m[string(key)], nil }

func (m memory) Set(key, value []byte) error {
	m[string(key)] = append([]byte{}, value...)
	return nil
}

func (m memory) Delete(key []byte) error {
	delete(m, string(key))
	return nil
}

func (m memory) DeleteRange(from, to []byte) error {
	for key := range m {
		if key >= string(from) && key < string(to) {
			delete(m, key)
		}
	}
	return nil
}

func (m memory) Scan(from, to []byte, visit func(key, value []byte) bool) error {
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

// model is what the machine promises, kept in the plainest way.
type model struct {
	items  map[string]int      // items of each job taken
	listed map[string][]string // item ids by position
	ended  map[string]bool
}

// lines are the events of an item: some are empty, none may be lost.
func lines(item string, upTo int64) []byte {
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

// between is the text of the events after from, up to last.
func between(item string, from, last int64) []byte {
	whole := lines(item, last)
	if from == 0 {
		return whole
	}
	return bytes.TrimPrefix(whole, append(lines(item, from), '\n'))
}

const itemEvents = 7

// Jobs are taken once; results keep their position and their content; a text
// is the item's whole output whatever was saved, lost, resent or came out of
// order; nothing is listed after an end.
func TestPromisesOfTheStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := memory{}
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
				check(t, applied.Known == known, "a job is taken twice, or not at all")
				if !known {
					m.items[job] = items
				}
			case "finish":
				m.finish(t, store, index, &wirev1.QueueResult{JobId: job, Item: item, ItemId: id, From: from, Last: itemEvents, Text: between(id, from, itemEvents)})
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
					JobId: job, Item: item, ItemId: id, From: from, Last: last, Text: between(id, from, last),
				}}}}}
				_, err = Apply(store, index, command)
				check(t, err == nil, "progress fails")
				after, err := Progress(store, job, item)
				check(t, err == nil && after.Last >= saved.Last, "progress goes back")
				check(t, bytes.Equal(after.Text, lines(id, after.Last)), "progress is not the output so far: "+string(after.Text))
			case "end":
				applied, err := Apply(store, index, &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_End{End: job}})
				check(t, err == nil, "end fails")
				_, known := m.items[job]
				check(t, (applied.Record != nil) == known, "an end does not tell whether the job is known")
				m.ended[job] = m.ended[job] || known
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
		check(t, !m.ended[finished.JobId], "listed after the end")
		check(t, int(finished.Item) < m.items[finished.JobId], "listed an item that does not exist")
		m.listed[finished.JobId] = append(m.listed[finished.JobId], finished.ItemId)
	}
}

func (m *model) compare(t *rapid.T, store StateStore) {
	for job, listed := range m.listed {
		results, err := Results(store, job, 0, 1<<20)
		check(t, err == nil && len(results) == len(listed), "a listed result is lost")
		seen := map[string]bool{}
		for position, result := range results {
			check(t, result.ItemId == listed[position], "a position changed")
			check(t, !seen[result.ItemId], "an item stands twice")
			seen[result.ItemId] = true
			if !result.Dead {
				check(t, bytes.Equal(result.Text, lines(result.ItemId, itemEvents)), "a text is not the whole output: "+string(result.Text))
			}
			again, err := Results(store, job, uint32(position), 1)
			check(t, err == nil && len(again) > 0 && again[0].ItemId == result.ItemId, "a read from a position differs")
		}
	}
	for job, items := range m.items {
		for number := range items {
			item, err := Item(store, job, uint32(number))
			unlisted := !contains(m.listed[job], fmt.Sprintf("%s-%d", job, number)) && !m.ended[job]
			check(t, err == nil && (item != nil) == unlisted, "an open item has no body, or another has one")
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

// A dropped job leaves no row behind and takes none of another's.
func TestDrop(t *testing.T) {
	is := is.New(t)
	store := memory{}
	for index, job := range []string{"a", "ab"} {
		_, err := Apply(store, uint64(index), &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Accept{Accept: jobOf(job, 2)}})
		is.NoErr(err)
	}
	_, err := Apply(store, 3, &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Drop{Drop: &wirev1.QueueDrop{JobIds: []string{"a"}}}})
	is.NoErr(err)
	gone, err := Record(store, "a")
	is.NoErr(err)
	is.True(gone == nil)
	is.Equal(len(store), 3) // the record and two items of the other
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

// What is begun goes before what is not, what can be in time before what can't.
func TestOrderOfItems(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table, _ := tableOf(now,
		&wirev1.QueueItemInfo{Id: "fresh", OutputTokens: 600},
		&wirev1.QueueItemInfo{Id: "begun", OutputTokens: 600},
		&wirev1.QueueItemInfo{Id: "long", OutputTokens: 6_000_000},
	)
	table.Start(ItemKey{"j", 1})
	table.Return(ItemKey{"j", 1}, ItemOutput{LastEventID: 3, Text: []byte("x")}, false, now)
	is.Equal(ids(table.Ready(now)), []string{"begun", "fresh", "long"})
	table.Start(ItemKey{"j", 0})
	is.Equal(ids(table.Ready(now)), []string{"begun", "long"})
	is.Equal(ids(table.Ready(now.Add(time.Hour))), []string{"begun", "long"}) // late, both
}

// Waiting tokens are those of items without a result, until they have one or
// their job is ended.
func TestWaitingTokens(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table, record := tableOf(now, &wirev1.QueueItemInfo{Id: "a", Tokens: 5}, &wirev1.QueueItemInfo{Id: "b", Tokens: 7}, &wirev1.QueueItemInfo{Id: "c", Tokens: 9, Position: 1})
	is.Equal(table.Waiting(TokenAccount{Route: "r"}), uint64(12))
	table.Add(record, now, now) // the same again changes nothing
	is.Equal(table.Waiting(TokenAccount{Route: "r"}), uint64(12))
	table.Finish(ItemKey{"j", 0})
	table.Finish(ItemKey{"j", 0})
	is.Equal(table.Waiting(TokenAccount{Route: "r"}), uint64(7))
	table.End("j")
	is.Equal(table.Waiting(TokenAccount{Route: "r"}), uint64(0))
	is.True(!table.Open("j"))
}

// An item is given up only after its time, never by a clock that jumped back.
func TestExpiry(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := NewItemTable()
	table.Add(&wirev1.QueueRecord{Id: "j", AcceptedUnixMs: now.Add(time.Hour).UnixMilli(), DueAfterMs: 20000, GiveUpMs: 60000, Items: []*wirev1.QueueItemInfo{{Id: "a"}}}, now, now)
	is.Equal(len(table.Expired(now.Add(59*time.Second))), 0)
	is.Equal(len(table.Expired(now.Add(61*time.Second))), 1)
}

// What is sent to the log in parts makes the whole, also when a part is lost.
func TestUnsavedParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		table, _ := tableOf(now, &wirev1.QueueItemInfo{Id: "j-0"})
		store := memory{}
		job := jobOf("j", 1)
		_, err := Apply(store, 1, &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Accept{Accept: job}})
		check(t, err == nil, "accept fails")
		key := ItemKey{"j", 0}
		for last := int64(1); last <= itemEvents; last++ {
			output := ItemOutput{LastEventID: last, Text: lines("j-0", last)}
			from, text := table.Unsaved(key, output)
			part := &wirev1.QueueResult{JobId: "j", ItemId: "j-0", From: from, Last: last, Text: text}
			if last < itemEvents {
				if rapid.Bool().Draw(t, "lost") {
					continue
				}
				applied, err := Apply(store, uint64(last), &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Progress{Progress: &wirev1.QueueResults{Results: []*wirev1.QueueResult{part}}}})
				check(t, err == nil, "progress fails")
				if len(applied.Refused) > 0 {
					table.Forget(key)
				}
				continue
			}
			finish := func(result *wirev1.QueueResult) *Applied {
				applied, err := Apply(store, 99, &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Finish{Finish: &wirev1.QueueResults{Results: []*wirev1.QueueResult{result}}}})
				check(t, err == nil, "finish fails")
				return applied
			}
			if applied := finish(part); len(applied.Refused) > 0 {
				finish(&wirev1.QueueResult{JobId: "j", ItemId: "j-0", Last: last, Text: output.Text})
			}
		}
		results, err := Results(store, "j", 0, 1<<20)
		check(t, err == nil && len(results) == 1 && bytes.Equal(results[0].Text, lines("j-0", itemEvents)), "the text is not whole")
	})
}

// An estimate far off the average does not make an item late from the start.
func TestEstimatesFarOff(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table, _ := tableOf(now, &wirev1.QueueItemInfo{Id: "known", OutputTokens: 1200}, &wirev1.QueueItemInfo{Id: "far off", OutputTokens: 50_000})
	table.Observe(table.Entry(ItemKey{"j", 0}), 200, 5*time.Second)
	slack := table.Slack(table.Entry(ItemKey{"j", 1}), now)
	is.True(slack > 0)                                              // it is taken for twice the average, not for forty times
	is.True(slack < table.Slack(table.Entry(ItemKey{"j", 0}), now)) // but for longer than others
}
