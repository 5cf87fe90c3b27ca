"""The cluster's I/O: storage, transport, and what drives `badgeryoke.cluster.node`.

Imported only where [fleet] is switched on.

`settings`, `admin_calls`   the operators' section, and their FLEET calls
`service`                   one member's start, calls, status and end
`running_member`            its storage writer, transport and node
`startup`                   storage and sockets as soon as they are free, groups forced by hand
`node_driver`               events in, effects out
`pending_calls`, `clock`    what the service waits for, and the clocks it goes by
`storage`, `transport`      stable storage, and connections to the other members
`connection_leases`         all upstream connections under leases, with `upstream_lease` (one of them),
                            `closing_sockets`, `server_limits` and `rolling_restart_duties`
"""
