"""RESP2: client connections, their listener, and upstream connection pools."""
