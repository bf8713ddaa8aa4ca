// Package batch groups the packages that store, replicate and run batch jobs. It
// contains no code itself.
//
//   - Packages replica, logstore, placement and shardhost implement replicated shards
//     for the storage node and the plain node: consensus, disk storage, placement of
//     replicas, and the loop that runs a node's shards.
//   - Packages queue, queuestore and queuerun implement the queue shards of the storage
//     node; queueclient calls them from an edge.
//   - Packages shard, grants and jsonl implement the file and job shards of the plain
//     node, which modules/batch/store runs.
package batch
