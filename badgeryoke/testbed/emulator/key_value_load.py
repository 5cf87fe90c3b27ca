"""A load of small key-value writes at random members, and the ledger of their outcomes.

The ledger relies on nothing but the client's calls: a write counts as acknowledged once a member has answered so,
and at the end each acknowledged write is read back through the members.  Names are unique, so that a response
with a previous value under the name shows that the write took effect twice.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

Address = tuple[str, int]
# A member's answer: its value and "", or None and the error code ("unknown-outcome" without an answer).
Answer = tuple[Any, str]
CALL_TIMEOUT_S = 3.0  # timeout of one call; a member's own is 2 s
RETRY_DELAY_S = 0.05  # before a call is retried
MAX_ATTEMPTS = 12
MAX_IN_FLIGHT = 500  # writes in flight; above it, writes are held back and counted
MAX_ANSWER_BYTES = 1024 * 1024
CONCURRENT_READS = 8  # concurrent reads at the end
UNKNOWN_OUTCOME = "unknown-outcome"
NOT_LISTENING = "nobody-listens"  # the connection was refused, so the call was certainly not received
RETRIED_ERRORS = (
    "no-leader",
    "crowded",
    "new-incarnation",
    NOT_LISTENING,
    UNKNOWN_OUTCOME,
)  # errors after which the same call is retried


async def cluster_call(
    address: Address, call: str, fields: dict[str, Any], timeout_s: float = CALL_TIMEOUT_S
) -> Answer:
    """Make one FLEET call at a gateway's management address."""
    writer: asyncio.StreamWriter | None = None
    request_line = b"FLEET %b\n" % json.dumps({"call": call, **fields}).encode()
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address, limit=MAX_ANSWER_BYTES)
            writer.write(request_line)
            answer_line = await reader.readline()
    except ConnectionRefusedError:
        return None, NOT_LISTENING
    except (OSError, TimeoutError, ValueError):
        return None, UNKNOWN_OUTCOME
    finally:
        if writer is not None:
            writer.transport.abort()
    return read_answer(answer_line)


def read_answer(answer_line: bytes) -> Answer:
    """Parse the line of an answer."""
    word, _, body = answer_line.decode(errors="replace").strip().partition(" ")
    if word == "-ERR":
        try:
            return None, str(json.loads(body)["error"])
        except (ValueError, KeyError, TypeError):
            return None, body.partition(":")[0] or "no word"
    if word != "+OK":
        return None, UNKNOWN_OUTCOME
    try:
        return json.loads(body) if body else None, ""
    except ValueError:
        return None, "not JSON"


@dataclass
class WriteLedger:
    """The outcomes of all writes; times in ms since the load began."""

    group_of: Callable[[str], str] = lambda name: ""  # group of a name; unavailability is measured by group
    started: int = 0
    held_back: int = 0  # writes not started, since too many were in flight
    # Value and time of the answer, by name.
    acknowledged: dict[str, tuple[str, float]] = field(default_factory=dict)
    refused: Counter[str] = field(default_factory=Counter)
    unknown: set[str] = field(default_factory=set)
    applied_twice: set[str] = field(default_factory=set)
    lost: set[str] = field(default_factory=set)
    unreadable: set[str] = field(default_factory=set)  # acknowledged, but not readable at the end
    longest_unavailable_ms: float = 0.0
    longest_unavailable_at_ms: float = 0.0
    latencies_ms: list[float] = field(default_factory=list)
    errors: Counter[str] = field(default_factory=Counter)  # failed calls, by member and error code
    # Start of each write in flight, by group and name.
    _in_flight: dict[str, dict[str, float]] = field(default_factory=dict)
    # Time of the latest acknowledgement, by group.
    _last_acknowledged_ms: dict[str, float] = field(default_factory=dict)

    def write_started(self, now: float, name: str) -> None:
        """Record the first attempt of a write."""
        self.started += 1
        self._in_flight.setdefault(self.group_of(name), {})[name] = now

    def write_ended(self, now: float, name: str, value: str, answer: Answer) -> None:
        """Record the final answer of a write: acknowledged, rejected, or unknown."""
        previous_value, error = answer
        group = self.group_of(name)
        in_flight = self._in_flight[group]
        if not error:
            self._record_unavailability(now, group)
            self.latencies_ms.append(now - in_flight[name])
            self.acknowledged[name] = value, now
            if previous_value is not None:
                self.applied_twice.add(name)
        elif error == UNKNOWN_OUTCOME:
            self.unknown.add(name)
        else:
            self.refused[error] += 1
        del in_flight[name]

    def _record_unavailability(self, now: float, group: str) -> None:
        """Record the time for which a group with writes in flight has acknowledged none."""
        since = max(
            next(iter(self._in_flight[group].values()), now), self._last_acknowledged_ms.get(group, 0.0)
        )
        if now - since > self.longest_unavailable_ms:
            self.longest_unavailable_ms, self.longest_unavailable_at_ms = now - since, since
        self._last_acknowledged_ms[group] = now

    def restart_unavailability(self, now: float) -> None:
        """Restart the measurement of unavailability, since no majority of the members was connected."""
        for group in self._in_flight:
            self._last_acknowledged_ms[group] = now

    def finish(self, now: float) -> None:
        """Count the writes that are still in flight as unavailability, too."""
        for group, in_flight in self._in_flight.items():
            if in_flight:
                self._record_unavailability(now, group)

    def read(self, name: str, answer: Answer) -> None:
        """Compare a read at the end with the acknowledged write."""
        value, error = answer
        if error:
            self.unreadable.add(name)
        elif value != self.acknowledged[name][0]:
            self.lost.add(name)

    def figures(self) -> dict[str, Any]:
        """Further figures of the writes, with latencies in ms."""
        latencies_ms = sorted(self.latencies_ms)
        return {
            "made": self.started,
            "held_back": self.held_back,
            "refused": dict(sorted(self.refused.items())),
            "unknown": len(self.unknown),
            "unread": len(self.unreadable),
            "errors": dict(sorted(self.errors.items())),
            "longest_at_ms": round(self.longest_unavailable_at_ms, 1),
            **{
                f"wait_p{percentile}_ms": round(latencies_ms[len(latencies_ms) * percentile // 100], 2)
                for percentile in (50, 99)
                if latencies_ms
            },
        }


class WriteClient:
    """Sends writes to random members at a fixed rate, and retries each until its outcome is known."""

    def __init__(
        self,
        addresses: list[Address],
        rate: float,
        rng: random.Random,
        ledger: WriteLedger,
        clock: Callable[[], float],
    ) -> None:
        self._addresses, self._rate, self._rng, self.ledger, self._clock = addresses, rate, rng, ledger, clock
        self._tasks: set[asyncio.Task[None]] = set()
        self.running = True

    async def call(self, call: str, fields: dict[str, Any]) -> Answer:
        """Make one call at a random member."""
        member = self._rng.randrange(len(self._addresses))
        answer = await cluster_call(self._addresses[member], call, fields)
        if answer[1]:
            self.ledger.errors[f"g{member + 1} {answer[1]}"] += 1
        return answer

    async def run(self) -> None:
        """Send writes until `running` is False, then wait for those in flight."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        while self.running:
            if len(self._tasks) >= MAX_IN_FLIGHT:
                self.ledger.held_back += 1
            else:
                task = loop.create_task(self._write(f"{self.ledger.started:08d}"))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            due += 1.0 / self._rate
            await asyncio.sleep(max(due - loop.time(), 0.0))
        if self._tasks:
            await asyncio.gather(*self._tasks)

    async def _write(self, name: str) -> None:
        value = f"{self._rng.getrandbits(64):016x}"
        self.ledger.write_started(self._clock(), name)
        answer: Answer = None, UNKNOWN_OUTCOME
        may_have_applied = False
        for _ in range(MAX_ATTEMPTS):
            answer = await self.call("Promise", {"id": f"lab/{name}", "name": name, "value": value})
            if answer[1] not in RETRIED_ERRORS:
                break
            may_have_applied = may_have_applied or answer[1] == UNKNOWN_OUTCOME
            await asyncio.sleep(RETRY_DELAY_S)
        if answer[1] and may_have_applied:
            answer = None, UNKNOWN_OUTCOME  # at least one attempt may have taken effect
        self.ledger.write_ended(self._clock(), name, value, answer)

    async def read_back(self, timeout_s: float) -> None:
        """Read each acknowledged write through random members until one answers."""
        loop = asyncio.get_running_loop()
        deadline, names = loop.time() + timeout_s, list(self.ledger.acknowledged)

        async def read_remaining() -> None:
            while names:
                name, answer = names.pop(), (None, UNKNOWN_OUTCOME)
                while answer[1] and loop.time() < deadline:
                    answer = await self.call("PromiseRead", {"name": name})
                    if answer[1]:
                        await asyncio.sleep(RETRY_DELAY_S)
                self.ledger.read(name, answer)

        await asyncio.gather(*(read_remaining() for _ in range(CONCURRENT_READS)))
