"""What the gateways of a fleet share, copied: decisions alone, no I/O.

Time comes in as `now` (this machine's monotonic clock, ms) and `wall` (Unix ms, anchored once to the
monotonic clock, so that a step of the system's clock moves nothing here), chance as a `random.Random`,
messages as values.  Nothing in here is imported by a gateway whose operators' file does not switch the fleet
on.
"""
