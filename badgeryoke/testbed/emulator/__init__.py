"""The emulator: everything around real gateway processes, on loopback sockets, written from the protocol
page.

All parties but the gateways live in one process, so that the referee books what reaches the servers'
sockets by one clock.
"""
