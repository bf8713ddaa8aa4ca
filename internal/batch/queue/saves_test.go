package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
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

// Whatever runs an item has, at whatever versions, and whether or not their saves reach the log: the
// saved output is a beginning of the output of one version, and names it.
func TestSavedOutputIsOfOneSoftwareVersion(t *testing.T) {
	textOf := func(version string, last int64) string {
		output := ItemOutput{}
		for id := int64(1); id <= last; id++ {
			output.Append(id, fmt.Append(nil, version, "-", id))
		}
		return string(output.Text)
	}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		store := memoryStore{}
		table := waitingTable(1, now)
		key := ItemKey{"j", 0}
		var batch ProgressBatch
		output := ItemOutput{SoftwareVersion: "v1"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(2 * saveBatchDelay)
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0: // another run begins from the start
				output = ItemOutput{SoftwareVersion: rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version")}
			case 1: // another leader
				saved, err := Progress(store, "j", 0)
				if err != nil {
					t.Fatal(err)
				}
				table, batch = waitingTable(1, now), ProgressBatch{}
				output = ItemOutput{LastEventID: saved.Last, Text: saved.Text, SoftwareVersion: saved.SoftwareVersion}
				if saved.Last > 0 {
					table.Restore(key, output)
				} else {
					output.SoftwareVersion = "v1"
				}
			case 2:
				table.ResetSaved(key)
			default:
				for range rapid.IntRange(1, 4).Draw(t, "events") {
					output.Append(output.LastEventID+1, fmt.Append(nil, output.SoftwareVersion, "-", output.LastEventID+1))
				}
				batch.Add(key, "i0", ItemOutput{output.LastEventID, append([]byte(nil), output.Text...), output.SoftwareVersion}, now)
			}
			due := batch.Flush(table, now.Add(saveBatchDelay))
			if due == nil || rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				continue
			}
			for _, part := range due.Results {
				if _, err := appendProgress(store, part); err != nil {
					t.Fatal(err)
				}
			}
			saved, err := Progress(store, "j", 0)
			if err != nil {
				t.Fatal(err)
			}
			if string(saved.Text) != textOf(saved.SoftwareVersion, saved.Last) {
				t.Fatalf("version %q up to event %d: saved %q", saved.SoftwareVersion, saved.Last, saved.Text)
			}
		}
	})
}

// TestOutputSavedByAnEarlierBuildHasNoVersion guards against rule MIXED (review/8): text that an earlier
// build saved may be of responses that are not the runners' own. It has no known version, so that the item
// starts again.
func TestOutputSavedByAnEarlierBuildHasNoVersion(t *testing.T) {
	is := is.New(t)
	const earlierVersionField = 8
	store := memoryStore{}
	row, err := proto.Marshal(&wirev1.QueueResult{ItemId: "i0", Last: 1, Text: []byte("foreign")})
	is.NoErr(err)
	row = protowire.AppendString(protowire.AppendTag(row, earlierVersionField, protowire.BytesType), "v1")
	is.NoErr(store.Set(progressKey("j", 0, 1), row))
	saved, err := Progress(store, "j", 0)
	is.NoErr(err)
	is.Equal(saved.Last, int64(1))
	is.Equal(saved.SoftwareVersion, "")
}
