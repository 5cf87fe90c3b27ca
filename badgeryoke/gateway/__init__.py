"""The real gateway: sockets, files and processes around the decisions."""
