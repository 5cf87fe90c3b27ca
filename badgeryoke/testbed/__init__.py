"""The testbed: runs scenarios in simulated time or on sockets and checks them independently of the gateways.

The testbed imports the gateway's code; the gateway's code must not import the testbed.
"""
