"""Health checks of the shared counter, through the counter's own call and nothing else.

`presence_register` is the arithmetic of one counter value in which up to six gateways each keep a digit,
`peer_heartbeats` finds out which gateways have stopped to send heartbeats, `detector` tells from all replies
what the state of the counter is, `visibility` what may be granted meanwhile, `monitored_policy` connects them
to the decision engine, and `error_bound` states beforehand how much may be granted in excess.  None of them
does I/O or uses a clock or a random source.
"""
