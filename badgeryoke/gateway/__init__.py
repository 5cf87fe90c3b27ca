"""The gateway process: sockets, files and signals around the decision module."""
