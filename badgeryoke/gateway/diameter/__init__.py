"""Diameter credit control (RFC 6733, RFC 8506): client and upstream connections."""
