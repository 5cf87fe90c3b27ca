"""Links between gateways on loopback: what passes, what ends a link and is told, what is dropped at a
bound."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from random import Random
from typing import Any

import msgspec
import pytest

from badgeryoke.cluster import errors
from badgeryoke.cluster.messages import (
    COMMAND,
    VERSION,
    AnyMessage,
    AppendEntries,
    Envelope,
    GossipUpdate,
    LogEntry,
    Ping,
    RequestVoteReply,
)
from badgeryoke.gateway.cluster.transport import Bounds, ClusterTransport, PeerLink, frame, read
from tests.support.running import until
from tests.support.stand_ins import HOST

SOON = Bounds(connect_s=0.2, hello_s=0.2, stall_s=0.2, ask_s=0.0, again_least_s=0.01, again_most_s=0.05)
PING = Ping(1, "b/1", (GossipUpdate("c/1", 1, 3, "a/1"),))
HELLO = Envelope(VERSION, "f", "a/1", "b", ())


def big(size: int = 1000, index: int = 1) -> AppendEntries:
    return AppendEntries("g", 1, index - 1, 1, (LogEntry(index, 1, COMMAND, b"x" * size),), 0, 0)


class End:
    """One member's links, and what they told."""

    def __init__(
        self,
        me: str,
        fleet: str = "f",
        bounds: Bounds = SOON,
        listening: socket.socket | None = None,
        **others: int,
    ) -> None:
        self.listening = listening or socket.create_server((HOST, 0))
        self.port = self.listening.getsockname()[1]
        self.got: list[tuple[str, AnyMessage]] = []
        self.errors: list[errors.ClusterError] = []
        self.links = ClusterTransport(
            fleet,
            me,
            {name: (HOST, port) for name, port in others.items()},
            lambda sender, those: self.got.extend((sender, one) for one in those),
            self.errors.append,
            Random(1),
            bounds,
        )
        self.links.listen([self.listening])

    def codes(self) -> list[str]:
        return [one.code for one in self.errors]


def play(test: Callable[[], Any]) -> None:
    """With an end where a wait is for what never comes."""
    asyncio.run(asyncio.wait_for(test(), 20))


@asynccontextmanager
async def pair(**changes: Any) -> AsyncIterator[tuple[End, End]]:
    there = End("b/1", a=1)
    here = End("a/1", b=there.port, **changes)
    there.links.peers["a"].address = HOST, here.port
    try:
        yield here, there
    finally:
        here.links.end()
        there.links.end()


def test_messages_pass_both_ways_in_order_and_all_of_a_turn_in_one_frame() -> None:
    async def test() -> None:
        async with pair() as (here, there):
            frames: list[int] = []
            take = there.links._receive

            def counted(sender: str, those: tuple[AnyMessage, ...]) -> None:
                frames.append(len(those))
                take(sender, those)

            there.links._receive = counted
            said: list[AnyMessage] = [PING, big(), RequestVoteReply("g", 2, True, False), big(70_000, 2)]
            for one in said:
                here.links.send("b/1", one)
            await until(lambda: len(there.got) == 4)
            assert there.got == [("a/1", one) for one in said] and frames == [4]
            there.links.send("a", PING)  # only the name is known
            await until(lambda: here.got)
            assert here.got == [("b/1", PING)] and not here.errors + there.errors
            assert here.links.status()["b"] == {"up": True, "waiting": 0, "sent": 4, "lost": 0}
            for n in range(40):  # more than one frame
                here.links.send("b/1", big(100_000, n + 1))
            await until(lambda: len(there.got) == 44)
            assert len(frames) > 4 and [
                m.entries[0].index for _, m in there.got[4:] if isinstance(m, AppendEntries)
            ] == list(range(1, 41))

    play(test)


# Bad frames
# -----------------------------------------------------------------------------------------------------------

GOOD = frame(HELLO)


def raw(*fields: Any) -> bytes:
    body = msgspec.msgpack.encode(fields)
    return len(body).to_bytes(4, "big") + body


@pytest.mark.parametrize(
    ("sent", "code"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", "bad-frame"),
        ((2 << 20).to_bytes(4, "big"), "bad-frame"),
        (bytes(4), "bad-frame"),
        (b"\x00\x00\x00\x03\xff\xff\xff", "bad-frame"),
        (b"\x00\x00\x00\x40" + b"\x91" * 64, "bad-frame"),
        (raw(VERSION + 1, "f", {"another": "form"}), "bad-frame"),
        (raw(VERSION, "f", "a/1", "b", ("none",)), "bad-frame"),
        (frame(Envelope(VERSION, "f", "a/1", "b", (PING,))), "bad-frame"),
        (raw(VERSION, "other", "a/1", "b", ()), "another-fleet"),
        (raw(VERSION, "f", "nobody/1", "b", ()), "another-fleet"),
        (raw(VERSION, "f", "b/1", "b", ()), "another-fleet"),
        (raw(VERSION, "f", "a", "b", ()), "another-fleet"),
        (raw(VERSION, "f", "a/1", "b/0", ()), "stale-incarnation"),
        (GOOD + raw(VERSION, "f", "a/1", "b/0", (PING,)), "stale-incarnation"),
        (GOOD + raw(VERSION, "f", "c/1", "b", (PING,)), "bad-frame"),
        (GOOD + raw(VERSION, "f", "a/1", "b", (["Unheard", 1],)), "bad-frame"),
        (GOOD + raw(VERSION, "f", "a/1", "b", (["Ping", "one", "b/1", []],)), "bad-frame"),
        (GOOD + frame(Envelope(VERSION, "f", "a/1", "b", (PING,) * 1025)), "bad-frame"),
        (GOOD + (2 << 20).to_bytes(4, "big"), "bad-frame"),
    ],
)
def test_a_bad_frame_ends_its_link_and_nothing_else(sent: bytes, code: str) -> None:
    async def test() -> None:
        async with pair() as (here, there):
            here.links.send("b", PING)
            await until(lambda: there.got)
            for _ in range(2):
                reader, writer = await asyncio.open_connection(HOST, there.port)
                writer.write(sent)
                await reader.read()  # to the end of the connection
                writer.close()
            assert there.codes() == [code] and len(there.got) == 1
            while len(there.got) < 2:  # a hello in its name has ended the other's link: it dials again
                here.links.send("b", PING)
                await asyncio.sleep(0.01)

    play(test)


@pytest.mark.parametrize(
    ("changes", "codes"),
    [
        ({"fleet": "other"}, ("another-fleet", "another-fleet")),
        ({"name": "c"}, ("another-fleet", "another-fleet")),
    ],
)
def test_both_sides_of_a_wrong_link_are_told(changes: dict[str, str], codes: tuple[str, str]) -> None:
    async def test() -> None:
        there = End("b/1", a=1)
        here = End("a/1", changes.get("fleet", "f"), **{changes.get("name", "b"): there.port})
        here.links.send(changes.get("name", "b"), PING)
        await until(lambda: here.errors and there.errors)
        assert (here.codes(), there.codes()) == ([codes[0]], [codes[1]])
        here.links.end()
        there.links.end()

    play(test)


def test_another_incarnation_takes_the_place_of_the_one_before() -> None:
    """What is meant for the old one does not reach the new; and the old one is not heard again."""

    async def test() -> None:
        async with pair() as (old, there):
            old.links.send("b/1", PING)
            await until(lambda: there.got)
            new = End("a/2", b=there.port)
            there.links.peers["a"].address = HOST, new.port
            new.links.send("b/1", PING)
            await until(lambda: len(there.got) == 2)
            assert there.got[1][0] == "a/2"
            while not there.errors:
                old.links.send("b/1", PING)
                await asyncio.sleep(0.01)
            assert there.codes() == ["stale-incarnation"] and len(there.got) == 2
            there.links.send("a/1", PING)
            there.links.send("a/2", big())
            await until(lambda: new.got)
            assert new.got == [("b/1", big())] and {*there.codes()} == {"stale-incarnation"}
            new.links.end()

    play(test)


# Bounds
# ---------------------------------------------------------------------------------------------------------------


def test_at_the_bound_the_oldest_light_one_goes_then_the_oldest() -> None:
    bounds = Bounds(most_messages=4, most_bytes=100)
    peer = PeerLink("b", (HOST, 1))
    for word, light in (
        (b"h1", False),
        (b"l1", True),
        (b"h2", False),
        (b"l2", True),
        (b"h3", False),
        (b"h4", False),
    ):
        peer.add("b", word, light, bounds)
    assert [one.body for one in peer.queue if one.body] == [b"h1", b"h2", b"h3", b"h4"] and peer.lost == 2
    peer.add("b", b"h5", False, bounds)
    peer.add("b", b"x" * 96, False, bounds)
    assert [one.body for one in peer.queue if one.body] == [b"h4", b"h5", b"x" * 96]
    assert (peer.count, peer.size) == (3, 100)
    for n in range(1000):
        peer.add("b", b"%d" % n, n % 2 == 0, bounds)
    assert peer.count == 4 and len(peer.queue) <= 8 and len(peer.lights) <= 8
    to, bodies = peer.batch(bounds)
    assert to == "b" and len(bodies) == 4 and (peer.count, peer.size) == (0, 0) and not peer.lights


class Silent:
    """Takes connections and reads nothing, or reads all and answers nothing but the hello."""

    def __init__(self, reads: bool) -> None:
        self.reads, self.connections = reads, 0
        self.writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> Silent:
        self.server = await asyncio.start_server(self._called, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _called(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        writer.write(frame(Envelope(VERSION, "f", "c/1", "a", ())))
        self.writers.append(writer)
        if self.reads:
            with contextlib.suppress(asyncio.CancelledError):
                await reader.read()
        else:
            reader._transport.pause_reading()  # type: ignore[attr-defined]


@pytest.mark.parametrize("reads", [False, True])
def test_a_peer_that_does_not_read_or_answer_is_dropped_and_holds_up_nobody(reads: bool) -> None:
    """More than the bound is sent in each turn, so that something is lost however slow the turns are."""

    async def test() -> None:
        bounds = replace(SOON, most_bytes=200_000)
        async with pair(bounds=bounds) as (here, there), Silent(reads) as silent:
            here.links.peers["c"] = PeerLink("c", (HOST, silent.port))
            sent = 0
            while silent.connections < 3:
                for _ in range(5):
                    here.links.send("c", PING if reads else big(50_000))
                here.links.send("b", PING)
                sent += 1
                await asyncio.sleep(0.001)
                peer = here.links.peers["c"]
                assert peer.count <= bounds.most_messages and peer.size <= bounds.most_bytes
            await until(lambda: len(there.got) == sent)
            assert (
                (here.links.peers["c"].lost > 0 or reads)
                and here.links.peers["b"].lost == 0
                and not here.errors
            )

    play(test)


def test_a_link_over_which_nothing_is_said_is_closed_and_comes_back() -> None:
    async def test() -> None:
        bounds = replace(SOON, idle_s=0.02, sweep_s=0.01)
        async with pair(bounds=bounds) as (here, there):
            for n in range(1, 4):
                here.links.send("b", PING)
                await until(lambda: len(there.got) == n)  # noqa: B023 - awaited in its round
                await until(lambda: not here.links.peers["b"].up and not there.links._inbound)
            assert here.links.peers["b"].lost == 0 and not here.errors + there.errors

    play(test)


def test_nobody_is_there_then_somebody_is() -> None:
    async def test() -> None:
        with socket.create_server((HOST, 0)) as free:
            port = free.getsockname()[1]
        here = End("a/1", b=port)
        for _ in range(20):
            here.links.send("b", PING)
            await asyncio.sleep(0.005)
        there = End("b/1", listening=socket.create_server((HOST, port)), a=here.port)
        while not there.got:
            here.links.send("b", PING)
            await asyncio.sleep(0.005)
        assert not here.errors
        here.links.end()
        there.links.end()

    play(test)


def test_strangers_that_say_nothing_give_way_and_are_closed() -> None:
    async def test() -> None:
        async with pair() as (here, there):
            here.links.send("b", PING)
            await until(lambda: there.got)
            strangers = [await asyncio.open_connection(HOST, there.port) for _ in range(30)]
            for reader, writer in strangers:
                assert await reader.read() == b""
                writer.close()
            here.links.send("b", PING)
            await until(lambda: len(there.got) == 2)
            assert here.links.peers["b"].lost == 0 and not there.errors

    play(test)


def test_a_message_that_no_frame_holds_is_told_and_not_sent() -> None:
    async def test() -> None:
        async with pair() as (here, there):
            here.links.send("b", big(2 << 20))
            here.links.send("b", PING)
            await until(lambda: there.got)
            assert here.codes() == ["bad-frame"] and there.got == [("a/1", PING)]

    play(test)


def test_frames_of_chance_are_errors_and_never_more() -> None:
    draw, whole = Random(5), frame(Envelope(VERSION, "f", "a/1", "b/1", (PING, big(30))))[4:]
    for _ in range(3000):
        spoilt = bytearray(whole)
        for _ in range(draw.randrange(1, 4)):
            spoilt[draw.randrange(len(spoilt))] = draw.randrange(256)
        read(bytes(spoilt[: draw.randrange(len(spoilt) + 1)]), "f", "a")
    assert isinstance(read(whole, "f", "a"), Envelope)


def test_who_dials_is_dialled_at_once_however_long_the_pause_has_grown() -> None:
    async def test() -> None:
        closed = socket.create_server((HOST, 0))
        port = closed.getsockname()[1]
        closed.close()
        here = End("a/1", bounds=replace(SOON, again_least_s=60.0, again_most_s=60.0), b=port)
        here.links.send("b/1", PING)
        await until(lambda: here.links.peers["b"].not_before)  # nobody is there
        here.links.send("b/1", PING)  # waits for a minute
        there = End("b/1", listening=socket.create_server((HOST, port)), a=here.port)
        there.links.greet()
        await until(lambda: there.got)
        here.links.end()
        there.links.end()

    play(test)
