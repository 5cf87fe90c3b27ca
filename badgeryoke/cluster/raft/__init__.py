"""The Raft consensus algorithm, without I/O."""
