"""The laboratory: scenarios, played in simulated time or on sockets, and a referee that trusts no gateway.

It imports the product, and the product never imports it.
"""
