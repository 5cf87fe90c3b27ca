"""The fleet in simulated time: many nodes, what lies between them, and a referee that believes only what
it saw."""
