"""The replicated state that the gateways of a cluster share: decision logic only, no I/O.

The caller passes in time as `now` (this machine's monotonic clock, ms) and `wall` (Unix ms, anchored once to the
monotonic clock, so that a step of the system clock has no effect here), randomness as a `random.Random`, and messages
as values.  A gateway whose operators' file does not enable the cluster imports nothing from this package.
"""
