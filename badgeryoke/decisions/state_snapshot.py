"""What one process of a gateway hands to the next: both are one gateway to quotas, ceilings and cold servers.

No I/O.  Times are Unix milliseconds, which both read from the same clock; servers go by discovery's names,
since each process numbers them for itself.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Mapping

import msgspec

from badgeryoke.decisions.interface import Action, Request
from badgeryoke.decisions.policy.engine import FLUSH_SHARE, CustomerQuota, DecisionEngine, ServerState

VERSION = 2
MOST_LEDGERS = 20_000  # the last used; the others begin as after a crash
MOST_BYTES = 8 * 1024 * 1024
# Attributes that are handed over as they are.
LEDGER = (
    "period",
    "base",
    "last_base",
    "epoch",
    "last_epoch",
    "sum",
    "unclosed",
    "mine",
    "others",
    "seen",
    "told",
    "stranger",
    "conform",
    "used",
)
PEER = (
    "rank",
    "base",
    "latency",
    "timed",
    "guessed",
    "sent",
    "newest",
    "failing",
    "failed",
    "answered",
    "answers",
    "turn",
    "turn_at",
)
QUOTA = ("_chance", "_worth", "_started", "_quickest")
FLEET = ("_mean", "_sent", "_sent_at", "_began", "_latency", "_unmet", "_more")
Figure = int | float | bool | None


class CustomerSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """One customer's use."""

    customer: int
    plan: str
    spread: int
    first: int
    period_ms: float
    tats: tuple[float, float, float | None]  # of the quota, the own part and the ceiling's headroom
    owed: float  # to the counter; the new process reports it
    settled: float
    maybe: float  # may be in the next total, from calls of the old process
    figures: list[Figure]  # in the order of LEDGER


class ServerSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """One server."""

    host: str
    figures: list[Figure]  # in the order of PEER


class StateSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """All of it."""

    ledgers: list[CustomerSnapshot]
    peers: list[ServerSnapshot]
    quota: list[float]
    conform: dict[str, float]
    fleet: list[float]
    retries: float


def _ledger(led: CustomerQuota) -> CustomerSnapshot:
    told = sum(led.asked.values()) - sum(led.pending.values()) - led.guessed if led.asked else 0.0
    return CustomerSnapshot(
        led.customer,
        led.plan.name,
        led.spread,
        led.first,
        led.period_ms,
        (led.quota.tat, led.own.tat, led.head.tat if led.head else None),
        max(led.owed, 0.0),
        led.settled,
        led.maybe + max(told, 0.0),
        [getattr(led, name) for name in LEDGER],
    )


def take_snapshot(gateway: DecisionEngine, names: Mapping[int, str]) -> StateSnapshot:
    """The state of a gateway whose servers have these names; it goes on unchanged."""
    quota, fleet = gateway._quota, gateway._fleet
    ledgers = sorted(quota._ledgers.values(), key=lambda led: led.used)[-MOST_LEDGERS:]
    return StateSnapshot(
        [_ledger(led) for led in ledgers],
        [
            ServerSnapshot(names[number], [getattr(peer, name) for name in PEER])
            for number, peer in fleet._peers.items()
            if number in names
        ],
        [getattr(quota, name) for name in QUOTA],
        dict(quota._conform),
        [getattr(fleet, name) for name in FLEET],
        gateway._retries,
    )


def mark_transferred(gateway: DecisionEngine, handed: StateSnapshot) -> None:
    """The new process serves by it: what was owed is the new one's to report, and so is what may be sent
    under a ceiling without the counter's word."""
    for state in handed.ledgers:
        led = gateway._quota._ledgers.get(state.customer)
        if led is not None:
            led.owed -= state.owed
            led.settled -= state.settled
            if led.head:
                led.head.tat = math.inf


def restore_snapshot(
    gateway: DecisionEngine, now: float, handed: StateSnapshot, numbers: Mapping[str, int]
) -> list[Action]:
    """Go on from what the old process handed over.  What does not fit these settings is left out."""
    quota, fleet, settings = gateway._quota, gateway._fleet, gateway._settings
    actions: list[Action] = []
    _set(quota, QUOTA, list(handed.quota))
    quota._conform.update({name: share for name, share in handed.conform.items() if name in quota._plans})
    _set(fleet, FLEET, list(handed.fleet))
    gateway._retries = min(handed.retries, gateway._saved)
    for server in handed.peers:
        peer: ServerState | None = fleet._peers.get(numbers.get(server.host, -1))
        if peer is not None:
            _set(peer, PEER, server.figures)
    fleet._up.sort(key=lambda p: p.rank)
    for state in handed.ledgers:
        plan = quota._plans.get(state.plan)
        if plan is None or state.customer in quota._ledgers:
            continue
        request = Request("", "", state.plan, state.customer, 0.0, 0.0, state.spread, state.first)
        led = CustomerQuota(plan, request, settings, now, quota._started)
        if led.period_ms != state.period_ms:
            continue  # other figures than the old process had
        led.quota.tat, led.own.tat, head = state.tats
        if led.head:
            led.head.tat = math.inf if head is None else head
        led.owed, led.settled, led.maybe = state.owed, state.settled, state.maybe
        _set(led, LEDGER, state.figures)
        quota._ledgers[state.customer] = led
        if led.owed or led.settled:  # spread by chance, so that the counter does not get them all at once
            led.flushing = True
            wait = FLUSH_SHARE * led.period_ms * gateway._rng.random()
            actions.append(gateway._wake(now + wait, led))
    return actions


def _set(there: object, names: tuple[str, ...], values: list[Figure] | list[float]) -> None:
    for name, value in zip(names, values, strict=True):
        setattr(there, name, value)


def encode(handed: StateSnapshot) -> bytes:
    """With a head of version, checksum and length."""
    body = msgspec.msgpack.encode(handed)
    return b"STATE %d %d %d\n%b" % (VERSION, zlib.crc32(body), len(body), body)


def read_head(line: bytes) -> tuple[int, int]:
    """Checksum and length; raises ValueError."""
    words = line.split()
    if len(words) != 4 or words[0] != b"STATE" or not all(word.isdigit() for word in words[1:]):
        raise ValueError(f"not a state: {line[:40]!r}")
    if int(words[1]) != VERSION:
        raise ValueError(f"version {int(words[1])}, this process knows {VERSION}")
    if int(words[3]) > MOST_BYTES:
        raise ValueError(f"{int(words[3])} bytes are too many")
    return int(words[2]), int(words[3])


def decode(body: bytes, checksum: int) -> StateSnapshot:
    """The state; raises ValueError."""
    if zlib.crc32(body) != checksum:
        raise ValueError("checksum differs")
    try:
        handed = msgspec.msgpack.decode(body, type=StateSnapshot)
    except msgspec.DecodeError as fault:
        raise ValueError(str(fault)) from None
    sizes = {(len(LEDGER), len(one.figures)) for one in handed.ledgers}
    sizes |= {(len(PEER), len(one.figures)) for one in handed.peers}
    sizes |= {(len(QUOTA), len(handed.quota)), (len(FLEET), len(handed.fleet))}
    if any(wanted != there for wanted, there in sizes):
        raise ValueError("fields are missing")
    return handed
