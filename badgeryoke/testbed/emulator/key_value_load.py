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
ANSWER_S = 3.0  # timeout of one call; a member's own is 2 s
AGAIN_S = 0.05  # before a call is retried
MOST_TRIES = 12
MOST_OPEN = 500  # writes in flight; above it, writes are held back and counted
MOST_ANSWER = 1024 * 1024
AT_ONCE = 8  # concurrent reads at the end
UNKNOWN = "unknown-outcome"
NOBODY = "nobody-listens"  # the connection was refused, so the call was certainly not received
AGAIN = (
    "no-leader",
    "crowded",
    "new-incarnation",
    NOBODY,
    UNKNOWN,
)  # errors after which the same call is retried


async def fleet_call(
    address: Address, call: str, fields: dict[str, Any], within_s: float = ANSWER_S
) -> Answer:
    """Make one FLEET call at a gateway's management address."""
    writer: asyncio.StreamWriter | None = None
    line = b"FLEET %b\n" % json.dumps({"call": call, **fields}).encode()
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(*address, limit=MOST_ANSWER)
            writer.write(line)
            said = await reader.readline()
    except ConnectionRefusedError:
        return None, NOBODY
    except (OSError, TimeoutError, ValueError):
        return None, UNKNOWN
    finally:
        if writer is not None:
            writer.transport.abort()
    return read_answer(said)


def read_answer(said: bytes) -> Answer:
    """Parse the line of an answer."""
    word, _, rest = said.decode(errors="replace").strip().partition(" ")
    if word == "-ERR":
        try:
            return None, str(json.loads(rest)["error"])
        except (ValueError, KeyError, TypeError):
            return None, rest.partition(":")[0] or "no word"
    if word != "+OK":
        return None, UNKNOWN
    try:
        return json.loads(rest) if rest else None, ""
    except ValueError:
        return None, "not JSON"


@dataclass
class Book:
    """The outcomes of all writes; times in ms since the load began."""

    group_of: Callable[[str], str] = lambda name: ""  # group of a name; unavailability is measured by group
    made: int = 0
    held_back: int = 0  # writes not started, since too many were in flight
    acknowledged: dict[str, tuple[str, float]] = field(default_factory=dict)  # by name: value and time of the answer
    refused: Counter[str] = field(default_factory=Counter)
    unknown: set[str] = field(default_factory=set)
    twice: set[str] = field(default_factory=set)
    lost: set[str] = field(default_factory=set)
    unread: set[str] = field(default_factory=set)  # acknowledged, but not readable at the end
    longest_ms: float = 0.0
    longest_at: float = 0.0
    waits: list[float] = field(default_factory=list)
    errors: Counter[str] = field(default_factory=Counter)  # failed calls, by member and error code
    _open: dict[str, dict[str, float]] = field(default_factory=dict)  # by group and name: start of each write in flight
    _last: dict[str, float] = field(default_factory=dict)  # by group: time of the latest acknowledgement

    def began(self, now: float, name: str) -> None:
        """Record the first attempt of a write."""
        self.made += 1
        self._open.setdefault(self.group_of(name), {})[name] = now

    def ended(self, now: float, name: str, value: str, answer: Answer) -> None:
        """Record the final answer of a write: acknowledged, rejected, or unknown."""
        before, error = answer
        group = self.group_of(name)
        opened = self._open[group]
        if not error:
            self._gap(now, group)
            self.waits.append(now - opened[name])
            self.acknowledged[name] = value, now
            if before is not None:
                self.twice.add(name)
        elif error == UNKNOWN:
            self.unknown.add(name)
        else:
            self.refused[error] += 1
        del opened[name]

    def _gap(self, now: float, group: str) -> None:
        """Record the time for which a group with writes in flight has acknowledged none."""
        since = max(next(iter(self._open[group].values()), now), self._last.get(group, 0.0))
        if now - since > self.longest_ms:
            self.longest_ms, self.longest_at = now - since, since
        self._last[group] = now

    def excuse(self, now: float) -> None:
        """Restart the measurement of unavailability, since no majority of the members was connected."""
        for group in self._open:
            self._last[group] = now

    def finish(self, now: float) -> None:
        """Count the writes that are still in flight as unavailability, too."""
        for group, opened in self._open.items():
            if opened:
                self._gap(now, group)

    def read(self, name: str, answer: Answer) -> None:
        """Compare a read at the end with the acknowledged write."""
        value, error = answer
        if error:
            self.unread.add(name)
        elif value != self.acknowledged[name][0]:
            self.lost.add(name)

    def figures(self) -> dict[str, Any]:
        """Further figures of the writes, with latencies in ms."""
        waits = sorted(self.waits)
        return {
            "made": self.made,
            "held_back": self.held_back,
            "refused": dict(sorted(self.refused.items())),
            "unknown": len(self.unknown),
            "unread": len(self.unread),
            "errors": dict(sorted(self.errors.items())),
            "longest_at_ms": round(self.longest_at, 1),
            **{f"wait_p{part}_ms": round(waits[len(waits) * part // 100], 2) for part in (50, 99) if waits},
        }


class PromiseClient:
    """Sends writes to random members at a fixed rate, and retries each until its outcome is known."""

    def __init__(
        self,
        addresses: list[Address],
        rate: float,
        rng: random.Random,
        book: Book,
        clock: Callable[[], float],
    ) -> None:
        self._addresses, self._rate, self._rng, self.book, self._clock = addresses, rate, rng, book, clock
        self._tasks: set[asyncio.Task[None]] = set()
        self.asking = True

    async def call(self, call: str, fields: dict[str, Any]) -> Answer:
        """Make one call at a random member."""
        member = self._rng.randrange(len(self._addresses))
        answer = await fleet_call(self._addresses[member], call, fields)
        if answer[1]:
            self.book.errors[f"g{member + 1} {answer[1]}"] += 1
        return answer

    async def run(self) -> None:
        """Send writes until `asking` is False, then wait for those in flight."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        while self.asking:
            if len(self._tasks) >= MOST_OPEN:
                self.book.held_back += 1
            else:
                task = loop.create_task(self._promise(f"{self.book.made:08d}"))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            due += 1.0 / self._rate
            await asyncio.sleep(max(due - loop.time(), 0.0))
        if self._tasks:
            await asyncio.gather(*self._tasks)

    async def _promise(self, name: str) -> None:
        value = f"{self._rng.getrandbits(64):016x}"
        self.book.began(self._clock(), name)
        answer: Answer = None, UNKNOWN
        maybe = False
        for _ in range(MOST_TRIES):
            answer = await self.call("Promise", {"id": f"lab/{name}", "name": name, "value": value})
            if answer[1] not in AGAIN:
                break
            maybe = maybe or answer[1] == UNKNOWN
            await asyncio.sleep(AGAIN_S)
        if answer[1] and maybe:
            answer = None, UNKNOWN  # at least one attempt may have taken effect
        self.book.ended(self._clock(), name, value, answer)

    async def read_back(self, within_s: float) -> None:
        """Read each acknowledged write through random members until one answers."""
        loop = asyncio.get_running_loop()
        until, names = loop.time() + within_s, list(self.book.acknowledged)

        async def some() -> None:
            while names:
                name, answer = names.pop(), (None, UNKNOWN)
                while answer[1] and loop.time() < until:
                    answer = await self.call("PromiseRead", {"name": name})
                    if answer[1]:
                        await asyncio.sleep(AGAIN_S)
                self.book.read(name, answer)

        await asyncio.gather(*(some() for _ in range(AT_ONCE)))
