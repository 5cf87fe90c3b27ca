"""The list's clock on real sockets, whole fleets in one event loop whose time jumps to the next timer."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import selectors
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from badgeryoke.decisions.interface import EndpointList, EndpointState, ListScope
from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.discovery import long_poll
from badgeryoke.gateway.discovery.client import DiscoveryClient
from badgeryoke.gateway.discovery.endpoint_list import EndpointSnapshot
from tests.decisions.test_fleet_sums import most_in_a_window
from tests.support.stand_ins import HOST, Standin, entry

LOOK_S = 0.0001  # of real time: loopback delivers what was written before the writing is over


class Jumping(asyncio.SelectorEventLoop):
    """Sockets are real; where none has anything to say, the clock stands at the next timer at once."""

    def __init__(self) -> None:
        self.passed = 0.0
        super().__init__(selectors.DefaultSelector())
        selector: Any = self._selector  # type: ignore[attr-defined]
        look = selector.select

        def select(timeout: float | None = None) -> Any:
            if (found := look(0)) or timeout == 0:
                return found
            time.sleep(LOOK_S)
            if not (found := look(0)) and timeout:
                self.passed += timeout
            return found

        selector.select = select

    def time(self) -> float:
        return self.passed


def play(test: Callable[[], Awaitable[None]]) -> None:
    with asyncio.Runner(loop_factory=Jumping) as runner:
        runner.run(asyncio.wait_for(test(), 600))  # of the loop's time


class Agent(Standin):
    """What discovery tells: the whole list, then changes, by versions; `mood` says how it answers each
    call."""

    def __init__(self) -> None:
        super().__init__()
        self.history: list[dict[str, Any]] = [entry("a", 1), entry("b", 2)]  # version n: the first n
        self.changed = asyncio.Event()
        self.mood = "well"
        self.calls: list[float] = []
        self.left: list[float] = []  # when calls that stayed silent were given up
        self.indent: int | None = None

    async def __aenter__(self) -> Agent:
        self.server = await asyncio.start_server(self._connected, HOST, 0, backlog=1024)  # all come at once
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def change(self, told: dict[str, Any]) -> None:
        self.history.append(told)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first = True
        while True:
            path = (await reader.readuntil(b"\r\n\r\n")).decode().split(" ")[1]
            self.calls.append(asyncio.get_running_loop().time())
            if self.mood == "silent" or (self.mood == "watches silent" and not first):
                await reader.read()
                self.left.append(asyncio.get_running_loop().time())
                return
            first = False
            given = dict(part.split("=") for part in path.partition("?")[2].split("&") if part)
            held = int(given.get("after", 0))
            if self.mood == "full":
                writer.write(b"HTTP/1.1 503 No room\r\nContent-Length: 0\r\n\r\n")
                continue
            if held >= len(self.history):
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), int(given["wait_ms"]) / 1000)
                if self.mood != "well":
                    await reader.read()
                    return
            body = json.dumps(
                {"version": len(self.history), "full": not held, "servers": self.history[held:]},
                indent=self.indent,
            ).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


class Watching:
    """The host groups of so many gateways, and when each heard what."""

    def __init__(
        self,
        port: int,
        gateways: int,
        of: int = 0,
        known: EndpointSnapshot | None = None,
        draw: Callable[[], float] | None = None,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.heard: list[list[tuple[float, EndpointList]]] = [[] for _ in range(gateways)]

        def told(own: list[tuple[float, EndpointList]]) -> Callable[[EndpointList, object], None]:
            return lambda members, _: own.append((loop.time(), members))

        self.groups = [
            DiscoveryClient(
                (HOST, port),
                known,
                ActorScheduler(loop),
                told(own),
                of or gateways,
                draw or random.Random(n).random,
            )
            for n, own in enumerate(self.heard)
        ]
        for group in self.groups:
            group.start()

    def last(self) -> float:
        """When the last gateway heard that a server had gone; raises StopIteration where one has not."""
        return max(
            next(at for at, members in own if any(s.state is EndpointState.GONE for s in members.servers))
            for own in self.heard
        )

    def __enter__(self) -> Watching:
        return self

    def __exit__(self, *_: object) -> None:
        for group in self.groups:
            group.stop()


GONE = {"id": "a", "state": "left"}


@pytest.mark.parametrize("gateways", [1, 3, 40, 200, 10_000])
def test_the_worst_sum_stays_under_the_clock(gateways: int) -> None:
    """A pause could take 5.4 s, and a try behind it 3 s more.  The last term is the try that is answered
    at once."""
    group = DiscoveryClient(
        (HOST, 1), None, ActorScheduler(asyncio.new_event_loop()), lambda *_: None, gateways, lambda: 1.0
    )
    pause, again = (
        max(group.backoff.pause_after_failure_s() for _ in range(30)),
        group.backoff.pause_after_silence_s(),
    )
    behind_silence, later = group.backoff.pause_after_failure_s(), group.backoff.pause_after_failure_s()
    probe, wait, whole = (
        long_poll.PROBE_WAIT_MS / 1000,
        long_poll.LONG_POLL_WAIT_MS / 1000,
        long_poll.RESPONSE_TIMEOUT_S,
    )
    silent = long_poll.SILENCE_TIMEOUT_S
    refused_then_given_up = pause + (probe + whole) + again
    trickled = (wait + whole) + again
    silent_twice = (wait + silent) + again + (probe + silent) + again
    assert max(refused_then_given_up, trickled) <= 5.0 and silent_twice <= 5.5
    refused_behind_silence = (wait + silent) + again + behind_silence + (probe + silent)
    assert refused_behind_silence <= 5.8 and later == pause  # one call more, not a pace
    assert 3 * (probe + silent + again) <= 3.5 and probe + whole + again <= 2.0  # after SIGHUP: 4 s


@pytest.mark.parametrize("gateways", [1, 40, 200])
def test_watches_that_fall_silent_are_opened_anew_within_the_clock(gateways: int) -> None:
    """The next try could lie 7.5 s off: it went by a back-off that an earlier crowd had made long."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with Agent() as agent:
            with Watching(agent.port, gateways) as watching:
                await asyncio.sleep(1.0)
                agent.mood = "full"
                await asyncio.sleep(20.0)
                agent.mood = "well"
                await asyncio.sleep(6.5)
                agent.mood = "watches silent"  # those open now, and the next calls on their connections
                fell = loop.time()
                await asyncio.sleep(0.5)
                agent.history.append(GONE)
                await asyncio.sleep(8.0)
                assert watching.last() < fell + 5.5  # counts as told at 6

    play(test)


@pytest.mark.parametrize("gateways", [1, 200])
def test_an_outage_leaves_no_gateway_without_an_open_call(gateways: int) -> None:
    """Found in herd+mass: a list that an agent had from the outage's end came 0.39 s late, out of a pause
    of 1.5 s."""

    async def test() -> None:
        async with Agent() as agent:
            with Watching(agent.port, 1, of=gateways):
                await asyncio.sleep(5.0)
                agent.mood, before = "silent", len(agent.calls)
                await asyncio.sleep(20.0)
                again = agent.calls[before + 1 if agent.calls[before] < 5.0 else before :]
                assert len(agent.left) >= 4 and len(again) >= len(agent.left)
                assert max(at - left for left, at in zip(agent.left, again, strict=False)) < 0.2

    play(test)


@pytest.mark.parametrize(("gateways", "most"), [(3, 6), (40, 50), (200, 160)])
def test_an_outage_is_asked_through_at_a_bounded_pace_and_ends_at_once_for_all(
    gateways: int, most: int
) -> None:
    """Silent for 8 s: each try waited 6 s for its answer, and the next stood off for up to 7.5 s more."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with Agent() as agent:
            with Watching(agent.port, gateways) as watching:
                await asyncio.sleep(11.0)
                agent.mood = "silent"
                fell, before = loop.time(), len(agent.calls)
                await asyncio.sleep(7.0)
                agent.history.append(GONE)
                await asyncio.sleep(1.0)
                calls = [
                    at for at in agent.calls[before:] if at > fell + 5.5
                ]  # the first two rounds are over
                assert most_in_a_window(calls, 1.0) <= most and len(agent.calls) - before <= 6 * gateways
                agent.mood = "well"
                await asyncio.sleep(8.0)
                # A call of the outage, which this agent never answers, is held for 4 s.
                assert watching.last() < fell + 8.0 + 4.2

    play(test)


def test_an_answer_of_503_keeps_the_fleet_at_its_pace_but_nobody_beyond_the_clock() -> None:
    async def test() -> None:
        async with Agent() as agent:
            with Watching(agent.port, 200):
                await asyncio.sleep(1.0)
                agent.mood = "full"
                await asyncio.sleep(50.0)
                late = [at for at in agent.calls if at > 20.0]
                assert most_in_a_window(late, 1.0) <= 130
                assert len(late) >= 200 * 10  # 31 s: each at least every 3 s

    play(test)


def test_a_list_may_come_indented() -> None:
    async def test() -> None:
        async with Agent() as agent:
            agent.indent = 2
            with Watching(agent.port, 1) as watching:
                await asyncio.sleep(1.0)
                agent.change(GONE)
                await asyncio.sleep(0.1)
                [(_, first), (_, then)] = watching.heard[0]
                assert (first.scope, then.scope) == (ListScope.FULL, ListScope.CHANGES) and len(
                    agent.calls
                ) == 3

    play(test)


@pytest.mark.parametrize("mood", ["well", "full", "silent"])
def test_a_new_address_is_asked_at_once_also_out_of_a_pause(mood: str) -> None:
    """SIGHUP counts after 4 s, and a pause of 7.5 s was waited to its end."""

    async def test() -> None:
        async with Agent() as agent, Agent() as moved:
            moved.change(GONE)
            with Watching(agent.port, 200) as watching:
                await asyncio.sleep(1.0)
                agent.mood = mood
                await asyncio.sleep(30.0)
                now = asyncio.get_running_loop().time()
                for group in watching.groups:
                    group.switch_address((HOST, moved.port))
                await asyncio.sleep(4.0)
                first = [at for at in moved.calls if at < now + 0.1]
                assert len(first) >= 200 and watching.last() < now + 0.2

    play(test)


def test_a_new_address_that_is_silent_at_first_is_known_within_4_s() -> None:
    async def test() -> None:
        async with Agent() as agent, Agent() as moved:
            moved.change(GONE)
            moved.mood = "silent"
            with Watching(agent.port, 200) as watching:
                await asyncio.sleep(1.0)
                for group in watching.groups:
                    group.switch_address((HOST, moved.port))
                await asyncio.sleep(1.9)
                moved.mood = "well"
                await asyncio.sleep(1.5)
                assert watching.last() < 1.0 + 2.4

    play(test)


@pytest.mark.parametrize("turns", range(5))
def test_an_end_that_crosses_a_lost_connection_ends_the_watch(turns: int) -> None:
    """The fault was taken in its place, and a process that ended by its tasks went on for ever."""

    async def test() -> None:
        async with Agent() as agent:
            with Watching(agent.port, 1) as watching:
                await asyncio.sleep(1.0)
                stream, watch = watching.groups[0]._stream, watching.groups[0]._task
                assert stream is not None
                stream.close()
                for _ in range(turns):
                    await asyncio.sleep(0)
                watch.cancel()
                await asyncio.wait([watch], timeout=5.0)
                assert watch.cancelled()

    play(test)
