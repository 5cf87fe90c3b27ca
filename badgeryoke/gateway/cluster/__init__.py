"""The cluster's I/O: storage, transport, and the driver of `badgeryoke.cluster.node`.

Imported only if [fleet] is enabled.

`settings`, `admin_calls`   the [fleet] section of the operators' file, and the operators' FLEET calls
`service`                   one member's start, calls, status and shutdown
`running_member`            a started member: its storage writer, transport and node
`startup`                   opening storage and sockets as soon as they are free, forced recovery of groups
`node_driver`               feeds events to the node and carries out its effects
`pending_calls`, `clock`    calls without a result yet, and the member's clocks
`storage`, `transport`      stable storage, and the connections to the other members
`connection_leases`         leases for all upstream connections; `upstream_lease` is for one upstream;
                            `closing_sockets`, `server_limits` and `rolling_restart_duties` are its parts
"""
