"""Prepares what a member needs before its node is made: storage, listening sockets, and the node's setup."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from pathlib import Path

from tornado.netutil import bind_sockets

from badgeryoke.cluster.errors import ClusterError
from badgeryoke.cluster.events import Entries, HardState, PersistRecords
from badgeryoke.cluster.messages import MemberId
from badgeryoke.cluster.node import ANY_SERVER, Member, NodeSetup
from badgeryoke.cluster.placement.forced_recovery import force_sole_voter
from badgeryoke.gateway.address import parse_address
from badgeryoke.gateway.cluster.settings import ClusterSettings
from badgeryoke.gateway.cluster.storage import ClusterStorage, StorageLocked, open_storage

log = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.2  # time between attempts while the previous process holds the directory or the address
LISTEN_BACKLOG = 128


def node_setup(settings: ClusterSettings, gateway_name: str, incarnation: str) -> NodeSetup:
    """Convert the settings to the node's setup."""
    connection_limits = dict(settings.servers.limits)
    if settings.servers.connections:
        connection_limits[ANY_SERVER] = settings.servers.connections
    return NodeSetup(
        settings.name,
        settings.me or gateway_name,
        incarnation,
        tuple(Member(member.name, member.hall, member.address) for member in settings.members),
        settings.copies,
        settings.groups,
        settings.timings,
        settings.capacity,
        connection_limits,
    )


async def open_storage_when_free(
    settings: ClusterSettings, member: str, is_closed: Callable[[], bool]
) -> ClusterStorage | ClusterError | None:
    """Open the member's storage once no other process holds it; None if `is_closed` turns true first."""
    logged = False
    while not is_closed():
        opened = await asyncio.to_thread(
            open_storage, Path(settings.folder), settings.name, member, settings.fsync
        )
        if not isinstance(opened, StorageLocked):
            return opened
        if not logged:  # usually held by the process that this one replaces
            log.warning("%s; retrying until it is free", opened.error)
        logged = True
        await asyncio.sleep(RETRY_INTERVAL_S)
    return None


async def listen_when_free(address: str, is_closed: Callable[[], bool]) -> list[socket.socket]:
    """Listen on an address, IP:PORT, once it is free; no sockets if `is_closed` turns true first."""
    host, port = parse_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    logged = False
    while not is_closed():
        try:
            return bind_sockets(port, host, family, LISTEN_BACKLOG)
        except OSError as fault:
            if not logged:
                log.error(
                    "cannot listen on the cluster's address %s:%d: %s; retrying until it is free",
                    host,
                    port,
                    fault.strerror,
                )
            logged = True
            await asyncio.sleep(RETRY_INTERVAL_S)
    return []


def force_groups(
    settings: ClusterSettings, storage: ClusterStorage, member_id: MemberId, unix_ms: Callable[[], float]
) -> None:
    """Apply [fleet.forced]: groups that lost their majority for good continue from this member's replica alone.

    Raises sqlite3.Error, OSError or DamagedRecord if the change cannot be written.
    """
    for group, lost_members in settings.forced.items():
        _force_group(storage, group, lost_members, member_id, unix_ms)


def _force_group(
    storage: ClusterStorage,
    group: str,
    lost_members: tuple[MemberId, ...],
    member_id: MemberId,
    unix_ms: Callable[[], float],
) -> None:
    persisted = storage.persisted_groups.get(group)
    if persisted is None:
        log.warning("fleet.forced.%s: this member has no replica of the group", group)
        return
    changed = force_sole_voter(persisted, group, member_id, lost_members, unix_ms())
    if changed is persisted:
        log.warning(
            "fleet.forced.%s: ignored: it was applied already, or these are not all other members of the group; "
            "remove the line",
            group,
        )
        return
    added_entries = changed.entries[len(persisted.entries) :]
    records = HardState(changed.current_term, changed.voted_for), Entries(added_entries)
    storage.write([PersistRecords(group, 0, records)])
    storage.persisted_groups[group] = changed
    log.warning(
        "fleet.forced.%s: forced recovery: the group continues from this replica alone, without %s",
        group,
        ", ".join(lost_members),
    )
