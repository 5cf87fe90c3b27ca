"""Deterministic, seeded runs of scenarios against the decision code, in simulated time and without sockets."""
