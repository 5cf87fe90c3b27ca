"""The cluster in simulated time: many nodes, the network, clocks and disks between them, and checks that rely only
on observed calls, messages and disk contents."""
