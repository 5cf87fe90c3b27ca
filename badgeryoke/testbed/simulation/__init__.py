"""The same scenarios in simulated time against the decision code: no sockets, seeded, the same bytes each
time."""
