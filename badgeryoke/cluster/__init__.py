"""What the gateways of a cluster share by replication: decisions alone, no I/O.

Time comes in as `now` (this machine's monotonic clock, ms) and `wall` (Unix ms, anchored once to the monotonic clock, so
that a step of the system's clock moves nothing here), randomness as a `random.Random`, messages as values.  A gateway
whose operators' file does not switch the cluster on imports nothing of this package.
"""
