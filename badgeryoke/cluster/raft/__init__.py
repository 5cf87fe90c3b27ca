"""The Raft consensus algorithm, without I/O: events go in, effects come out.

`node.RaftNode` is one replica of one group.  Read `node` first, then the part that you need: `election`,
`log_replication` (the leader's side), `follower_log`, `snapshot_transfer`, `membership_change`,
`leadership_transfer`, `read_index`, `persistence`.  `state` holds the fields that they share, `log` the entries.
"""
