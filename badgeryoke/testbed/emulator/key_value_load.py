"""Small promises at random members, and the referee's book of them.

The book holds what the client saw alone: a promise counts as acknowledged once a member has said so, and at
the end each of these is read back through the members.  Names are never used twice, so that an answer which
tells of an older value under the name is a promise that took effect twice.
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
# What a member said: its value and "", or None and the error's code ("unknown-outcome" where no answer came).
Answer = tuple[Any, str]
ANSWER_S = 3.0  # for one call; a member itself gives a call up after two
AGAIN_S = 0.05  # before a call is made again
MOST_TRIES = 12
MOST_OPEN = 500  # promises under way; at the bound none is begun, and the book says so
MOST_ANSWER = 1024 * 1024
AT_ONCE = 8  # reads at the end
UNKNOWN = "unknown-outcome"
NOBODY = "nobody-listens"  # the call was not taken for certain
AGAIN = (
    "no-leader",
    "crowded",
    "new-incarnation",
    NOBODY,
    UNKNOWN,
)  # errors behind which the same call is made again


async def fleet_call(
    address: Address, call: str, fields: dict[str, Any], within_s: float = ANSWER_S
) -> Answer:
    """One FLEET call at a gateway's second address."""
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
    """What the one line of an answer says."""
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
    """What became of the promises; times in ms by the referee's clock."""

    group_of: Callable[[str], str] = lambda name: ""  # by which the gaps are taken
    made: int = 0
    held_back: int = 0  # not begun, since too many were under way
    acknowledged: dict[str, tuple[str, float]] = field(default_factory=dict)  # name: value, when
    refused: Counter[str] = field(default_factory=Counter)
    unknown: set[str] = field(default_factory=set)
    twice: set[str] = field(default_factory=set)
    lost: set[str] = field(default_factory=set)
    unread: set[str] = field(default_factory=set)  # nobody could read them back at the end
    longest_ms: float = 0.0
    longest_at: float = 0.0
    waits: list[float] = field(default_factory=list)
    errors: Counter[str] = field(default_factory=Counter)  # of single calls, by member and code
    _open: dict[str, dict[str, float]] = field(default_factory=dict)  # by group: those under way, since when
    _last: dict[str, float] = field(default_factory=dict)  # by group: the last acknowledgement

    def began(self, now: float, name: str) -> None:
        """A promise is asked for the first time."""
        self.made += 1
        self._open.setdefault(self.group_of(name), {})[name] = now

    def ended(self, now: float, name: str, value: str, answer: Answer) -> None:
        """Its last answer: acknowledged, refused, or unknown."""
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
        """A group without an acknowledgement, though it was asked for one, was away."""
        since = max(next(iter(self._open[group].values()), now), self._last.get(group, 0.0))
        if now - since > self.longest_ms:
            self.longest_ms, self.longest_at = now - since, since
        self._last[group] = now

    def excuse(self, now: float) -> None:
        """No majority was joined up to now: gaps count from here."""
        for group in self._open:
            self._last[group] = now

    def finish(self, now: float) -> None:
        """What is still asked for in vain counts as a gap too."""
        for group, opened in self._open.items():
            if opened:
                self._gap(now, group)

    def read(self, name: str, answer: Answer) -> None:
        """What a member says at the end of one that was acknowledged."""
        value, error = answer
        if error:
            self.unread.add(name)
        elif value != self.acknowledged[name][0]:
            self.lost.add(name)

    def figures(self) -> dict[str, Any]:
        """Beside the fleet's figures: what else became of the promises, waits in ms."""
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
    """Makes so many promises a second at random members and sees each through."""

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
        """One call at a random member."""
        member = self._rng.randrange(len(self._addresses))
        answer = await fleet_call(self._addresses[member], call, fields)
        if answer[1]:
            self.book.errors[f"g{member + 1} {answer[1]}"] += 1
        return answer

    async def run(self) -> None:
        """Until `asking` is taken away; then what is under way is seen to its end."""
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
            answer = None, UNKNOWN  # one try at the least may have been taken
        self.book.ended(self._clock(), name, value, answer)

    async def read_back(self, within_s: float) -> None:
        """Each acknowledged promise, through one member after another until one answers."""
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
