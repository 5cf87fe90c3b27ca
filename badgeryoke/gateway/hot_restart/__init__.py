"""Hot restart: state transfer from one process of a gateway to the next, over a Unix socket in $TMPDIR."""
