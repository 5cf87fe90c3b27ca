"""Health checks of the shared counter, through the counter's own call and nothing else.

`presence_register` encodes the heartbeats of up to six gateways as digits of one counter value,
`peer_heartbeats` finds the gateways that have stopped sending heartbeats, `detector` derives the state of the
counter from all replies, `visibility` limits what a gateway may grant during a fault, `monitored_policy`
connects them to the decision engine, and `error_bound` computes an upper bound of what may be granted in
excess.  None of them does I/O or uses a clock or a random source.
"""
