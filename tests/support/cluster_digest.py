"""Digests of the cluster's behaviour: its effects in order, without the type names that encoded bytes contain.

The bodies of entries and snapshots are MessagePack that names commands by their type, so they are decoded before
they are added.  Values that depend only on the length or the checksum of such bytes (the offsets of a snapshot's
chunks, the checksums of completed calls) are left out.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from functools import lru_cache
from typing import Any

import msgspec

from badgeryoke.cluster.errors import ClusterError
from badgeryoke.cluster.events import (
    ClusterCall,
    Entries,
    MessageReceived,
    NodeEvent,
    OperationCompleted,
    PersistedGroup,
    PersistRecords,
    ProposeCommand,
    SendMessage,
    Snapshot,
    StorageFailure,
)
from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.messages import (
    AppendEntries,
    EntryKind,
    ForwardedCall,
    ForwardedReply,
    InstallSnapshotChunk,
    InstallSnapshotChunkReply,
    LogEntry,
)
from badgeryoke.cluster.node import ClusterNode
from badgeryoke.cluster.node_setup import BOOTSTRAP_GROUP
from badgeryoke.cluster.state_machine.command_registry import decode_command
from badgeryoke.cluster.state_machine.machine import GroupStateMachine
from badgeryoke.cluster.state_machine_part import ApplyResult, Command
from tests.support.canonical import Digest
from tests.support.paths import ROOT

GOLDEN = ROOT / "tests" / "golden" / "digests" / "cluster.json"


def assert_digest(name: str, digest: Digest) -> None:
    """Compare a digest with the recorded one; a name without a recorded digest fails."""
    golden: dict[str, list[object]] = json.loads(GOLDEN.read_text())
    assert name in golden, f"no digest is recorded for {name}"
    assert [digest.count, digest.hexdigest()] == golden[name], (
        f"{name}: the behaviour differs from the recorded one"
    )


def command_values(command: Command) -> tuple[str, object]:
    """Return a command's values, with whether it is read-only and whether its answer is remembered."""
    return f"{command.is_read_only}/{command.remembers_answer}", command


def applied_values(result: ApplyResult | ClusterError | None) -> object:
    """Return a result's values, with the stable code of its error."""
    if isinstance(result, ClusterError):
        return result.code, result
    if result is None:
        return None
    return result.value, None if result.error is None else (result.error.code, result.error)


@lru_cache(maxsize=65536)
def body_values(body: bytes) -> object:
    """Return the values of an entry's or a call's body; a body that is no command stays as bytes."""
    try:
        at_ms, command = decode_command(body)
    except msgspec.DecodeError:
        return body
    return at_ms, command_values(command)


def entry_values(entry: LogEntry) -> object:
    """Return the values of a log entry; a configuration's bytes contain no type name and stay as they are."""
    body = body_values(entry.body) if entry.kind == EntryKind.COMMAND else entry.body
    return entry.index, entry.term, entry.kind, body


def state_values(body: bytes) -> object:
    """Return the values of a group's snapshot: time, index, the ids of remembered calls, and each part in order."""
    try:
        at_ms, index, ids, parts = msgspec.msgpack.decode(body)
    except (msgspec.DecodeError, TypeError, ValueError):
        return body
    return at_ms, index, [name for name, _, _ in ids], list(parts.values())


def record_values(record: object, group: str) -> object:
    """Return the values of a stored record."""
    if isinstance(record, Entries):
        return [entry_values(entry) for entry in record.entries]
    if isinstance(record, Snapshot):
        body = record.body if group == BOOTSTRAP_GROUP else state_values(record.body)
        return record.last_included_index, record.last_included_term, record.config, body
    return record


def message_values(message: object) -> object:
    """Return the values of a message between members."""
    match message:
        case AppendEntries():
            return (
                message.group,
                message.term,
                message.prev_log_index,
                message.prev_log_term,
                [entry_values(entry) for entry in message.entries],
                message.leader_commit,
                message.heartbeat_round,
            )
        case InstallSnapshotChunk():
            return (
                message.group,
                message.term,
                message.last_included_index,
                message.last_included_term,
                message.config,
                message.heartbeat_round,
            )
        case InstallSnapshotChunkReply():
            return message.group, message.term, message.last_included_index, message.heartbeat_round
        case ForwardedCall():
            return message.token, message.group, body_values(message.body), message.hops
        case ForwardedReply():
            return message.token
    return message


def effect_values(effect: object) -> object:
    """Return the values of an effect of a replica or a node."""
    match effect:
        case SendMessage():
            return "send", str(effect.to), message_values(effect.message)
        case PersistRecords():
            return (
                "store",
                effect.group,
                effect.sequence,
                [record_values(record, effect.group) for record in effect.records],
            )
        case OperationCompleted():
            result = effect.result
            is_applied = isinstance(result, ApplyResult | ClusterError)
            return "done", effect.token, applied_values(result) if is_applied else result
    return "say", effect


def event_values(event: object) -> object:
    """Return the values of an event of a replica or a node."""
    match event:
        case MessageReceived():
            return str(event.sender), message_values(event.message)
        case ClusterCall():
            return event.token, command_values(event.command)
        case ProposeCommand():
            return event.token, body_values(event.body)
        case StorageFailure():
            return event.error.code, event.error
    return event


def saved_values(saved: PersistedGroup, group: str) -> object:
    """Return the values that a store holds for a group."""
    snapshot = None if saved.snapshot is None else record_values(saved.snapshot, group)
    return saved.current_term, saved.voted_for, snapshot, [entry_values(entry) for entry in saved.entries]


def add_effects(digest: Digest, now: float, effects: Iterable[object]) -> None:
    """Add each effect to the digest, with its time."""
    for effect in effects:
        digest.add((now, effect_values(effect)))


class RecordedNode(ClusterNode):
    """A node that adds its events and effects to a digest."""

    digest: Digest

    def handle(self, now: float, wall: float, event: NodeEvent) -> Sequence[Any]:  # type: ignore[override]
        """Handle the event, and add it and its effects to the digest."""
        self.digest.add((now, wall, str(self.member_id), event_values(event)))
        effects = super().handle(now, wall, event)
        add_effects(self.digest, self.due, effects)
        return effects


def add_state(digest: Digest, state: GroupStateMachine) -> None:
    """Add a snapshot of a group's state to the digest."""
    digest.add(state_values(state.dump()))


def broken_values(rules: Invariants) -> list[tuple[Rule, str]]:
    """Return the violated rules and their details.  The details show a configuration under `Config`, the name that its
    type had when the digests were recorded."""
    return [(rule, details.replace("GroupConfiguration(", "Config(")) for rule, details in rules.broken]
