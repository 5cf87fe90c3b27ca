"""The emulator: everything around real gateway processes, on loopback sockets, implemented from the protocol
documentation alone.

All parties but the gateways run in one process, so that the quota checker records what reaches the servers'
sockets by one clock.
"""
