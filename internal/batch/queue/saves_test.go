package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

func waitingTable(items int, now time.Time) *ItemTable {
	record := &wirev1.QueueRecord{Id: "j", Route: "r", DueAfterMs: 60000, GiveUpMs: 120000}
	for i := range items {
		record.Items = append(record.Items, &wirev1.QueueItemInfo{Id: fmt.Sprint("i", i), Tokens: 1})
	}
	table := NewItemTable()
	table.Add(record, now, now)
	return table
}

// The progress of many runs within the batch delay becomes one command.
func TestProgressIsBatched(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := waitingTable(50, now)
	var batch ProgressBatch
	for i := range 50 {
		batch.Add(ItemKey{"j", uint32(i)}, fmt.Sprint("i", i), ItemOutput{LastEventID: 3, Text: []byte("a\nb\nc")}, now)
		is.Equal(batch.Flush(table, now.Add(saveBatchDelay-1)), nil)
	}
	is.Equal(len(batch.Flush(table, now.Add(saveBatchDelay)).Results), 50)
	is.Equal(batch.Flush(table, now.Add(2*saveBatchDelay)), nil) // nothing is left
}

// For any order of additions, removals and flushes, joining the parts from all commands
// gives the newest output, and no command contains an item whose result has been proposed
// or applied.
func TestBatchedProgressJoinsToTheOutput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		table := waitingTable(3, now)
		var batch ProgressBatch
		outputs := make([]ItemOutput, 3)
		kept := make([]ItemOutput, 3)
		finished := make([]bool, 3)
		flush := func() {
			due := batch.Flush(table, now)
			if due == nil {
				return
			}
			for _, part := range due.Results {
				if finished[part.Item] {
					t.Fatalf("item %d is saved after its result", part.Item)
				}
				if part.From != kept[part.Item].LastEventID {
					t.Fatalf("item %d: part starts after event %d, want %d", part.Item, part.From, kept[part.Item].LastEventID)
				}
				text := part.Text
				if part.From > 0 {
					text = JoinTexts(kept[part.Item].Text, part.Text)
				}
				kept[part.Item] = ItemOutput{LastEventID: part.Last, Text: text}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 2).Draw(t, "item")
			key := ItemKey{"j", uint32(i)}
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0, 1:
				outputs[i].Append(outputs[i].LastEventID+1, fmt.Append(nil, "e", outputs[i].LastEventID+1))
				if !finished[i] {
					batch.Add(key, "i", ItemOutput{LastEventID: outputs[i].LastEventID, Text: append([]byte(nil), outputs[i].Text...)}, now)
				}
			case 2:
				flush()
			case 3:
				batch.Remove(key)
				finished[i] = true
			case 4:
				table.Finish(key)
				finished[i] = true
			}
		}
		now = now.Add(time.Second)
		flush()
		for i, output := range outputs {
			if !finished[i] && string(kept[i].Text) != string(output.Text) {
				t.Fatalf("item %d: kept %q of %q", i, kept[i].Text, output.Text)
			}
		}
	})
}

// Output that is older than the collected output is ignored.
func TestOlderProgressIsIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := waitingTable(1, now)
	var batch ProgressBatch
	batch.Add(ItemKey{"j", 0}, "i", ItemOutput{LastEventID: 2, Text: []byte("a\nb")}, now)
	batch.Add(ItemKey{"j", 0}, "i", ItemOutput{LastEventID: 1, Text: []byte("a")}, now)
	is.Equal(batch.Flush(table, now.Add(time.Second)).Results[0].Last, int64(2))
}
