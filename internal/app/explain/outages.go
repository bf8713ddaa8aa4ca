package explain

import "fmt"

// messageShardCallFailed is logged by an edge for a call that no member of a queue shard
// answered as its leader.
const messageShardCallFailed = "call to queue shard failed"

// findOutages sets Outages. The answers of the members say why each of them does not serve.
func (t *Timeline) findOutages() {
	for _, line := range t.Lines {
		if line.Message == messageShardCallFailed && line.Fields["answers"] != "" {
			t.Outages = append(t.Outages, fmt.Sprintf("%s at %s called shard %s %s times: %s",
				line.Source, line.Stamp, line.Fields["shard"], line.Fields["rounds"], line.Fields["answers"]))
		}
	}
}
