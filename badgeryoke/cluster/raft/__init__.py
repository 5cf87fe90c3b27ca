"""The Raft consensus algorithm, without I/O: it takes events and returns effects.

`node.RaftNode` is one replica of one group.  Start with `node`; each other module implements one part of the
algorithm: `election`, `log_replication` (the leader's side), `follower_log`, `snapshot_transfer`,
`membership_change`, `leadership_transfer`, `read_index`, `persistence`.  `state` holds the fields that they share,
`log` the entries.
"""
