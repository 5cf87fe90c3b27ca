"""The fleet's I/O: store, links, and the shell around `fleet.node`.  Imported only where it is switched
on."""
