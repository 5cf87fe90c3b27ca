"""Where an answer of discovery ends, and what comes of one that is cut short, on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from badgeryoke.decisions.interface import ListScope
from badgeryoke.gateway import connecting
from badgeryoke.gateway.discovery import client as discovery_client
from badgeryoke.gateway.discovery.client import DiscoveryClient
from badgeryoke.gateway.discovery.endpoint_list import EndpointSnapshot, read_endpoint_snapshot
from badgeryoke.gateway.discovery.http_response import HttpResponse
from tests.gateway.discovery.test_notification_deadline import Watching, play
from tests.gateway.resp.test_client_connection import ask
from tests.support.stand_ins import HOST, Standin, config, entry, gateway, query, resp

LIST = json.dumps({"version": 7, "full": True, "servers": [entry("a", 1)]}).encode()
LATER = json.dumps({"version": 8, "full": True, "servers": [entry("b", 2)]}).encode()
HALF = LATER[: len(LATER) // 2]
OK = b"HTTP/1.1 200 OK\r\n"
LENGTH = b"Content-Length: %d\r\n\r\n" % len(LATER)
HEAD, HINTS = OK + LENGTH, b"HTTP/1.1 103 Early Hints\r\n\r\n"
Act = Callable[[asyncio.StreamWriter], Awaitable[bool]]  # False: the connection ends


class Script(Standin):
    """Answers the calls with one act after another, and stays silent when there is none left."""

    def __init__(self, *acts: Act) -> None:
        super().__init__()
        self.acts = list(acts)
        self.calls: list[tuple[float, int, str]] = []  # when, on which connection, for what
        self.answered: list[float] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop, number, more = asyncio.get_running_loop(), self.connections, True
        while more:
            path = (await reader.readuntil(b"\r\n\r\n")).decode().split(" ")[1]
            self.calls.append((loop.time(), number, path))
            if not self.acts:
                await reader.read()
                return
            more = await self.acts.pop(0)(writer)
            self.answered.append(loop.time())


def says(*pieces: bytes, apart: float | None = None, keep: bool = False) -> Act:
    """These pieces, then an orderly close."""

    async def act(writer: asyncio.StreamWriter) -> bool:
        for piece in pieces:
            writer.write(piece)
            if apart is not None:
                await asyncio.sleep(apart)
        return keep

    return act


def resets(data: bytes, after: float) -> Act:
    async def act(writer: asyncio.StreamWriter) -> bool:
        writer.write(data)
        await asyncio.sleep(after)
        made = writer.get_extra_info("socket")
        made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
        return False

    return act


def well(body: bytes, keep: bool = True) -> Act:
    close = b"" if keep else b"Connection: close\r\n"
    return says(OK + close + b"Content-Length: %d\r\n\r\n" % len(body) + body, keep=keep)


def chunked(body: bytes) -> bytes:
    return OK + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)


INDENTED = json.dumps(json.loads(LIST), indent=2).encode() + b"\n"
ENDED = {
    "nothing said": says(OK + b"\r\n" + LIST),
    "close": says(OK + b"Connection: close\r\n\r\n", LIST, apart=0.1),
    "1.0": says(b"HTTP/1.0 200 OK\r\n\r\n" + LIST),
    "1.0, keep-alive": says(b"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n" + LIST),
    "identity": says(OK + b"Transfer-Encoding: identity\r\n\r\n" + LIST),
    "1xx first": says(
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nContent-Length: 3\r\n\r\n",
        OK + b"\r\n" + LIST,
        apart=0.1,
    ),
    "indented, byte by byte": says(*(bytes([b]) for b in OK + b"\r\n" + INDENTED), apart=0.001),
    "length, close": well(LIST, keep=False),
    "length, 1.0": says(b"HTTP/1.0 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LIST) + LIST),
}


@pytest.mark.parametrize("how", ENDED)
def test_an_answer_that_ends_with_its_connection_is_a_good_one(how: str) -> None:
    """One without a length was refused: such a day never got a list.  Behind any other good one that
    closed stood a pause, and a short call for each: ten a second without end."""

    async def test() -> None:
        async with Script(*[ENDED[how]] * 5) as agent:
            with Watching(agent.port, 1, of=200) as watching:
                group = watching.groups[0]
                group.backoff._pause_s = group.backoff.longest_pause_s  # as a crowd has left it
                await asyncio.sleep(3.0)
                assert len(watching.heard[0]) == len(agent.answered) == 5 and not group._logged_fault
                assert [call[1] for call in agent.calls] == [1, 2, 3, 4, 5, 6]
                assert all("after=7&wait_ms=3000" in call[2] for call in agent.calls[1:])
                gaps = [call[0] - at for call, at in zip(agent.calls[1:], agent.answered, strict=True)]
                assert max(gaps) < 0.1  # a watch goes on where the next call comes within 0.2 s

    play(test)


def slowly(body: bytes, seconds: float, after: float = 0.0, early: bytes = b"") -> Act:
    """The body in pieces of that many seconds together, from then on."""

    async def act(writer: asyncio.StreamWriter) -> bool:
        writer.write(early)
        await asyncio.sleep(after)
        writer.write(b"" if early.startswith(OK) else OK + b"Content-Length: %d\r\n\r\n" % len(body))
        for n in range(10):
            await asyncio.sleep(seconds / 10)
            writer.write(body[n * len(body) // 10 : (n + 1) * len(body) // 10])
        return True

    return act


@pytest.mark.parametrize(
    "then",
    [
        slowly(LATER, 1.5),
        slowly(LATER, 1.5, 2.9),
        slowly(LATER, 1.5, 0.0, HINTS),
        slowly(LATER, 1.5, 2.9, HINTS),
        slowly(LATER, 1.5, 2.9, HEAD),
    ],
)
def test_a_slow_answer_is_taken_while_it_goes_on(then: Act) -> None:
    """One that began when its call had waited was given up in the middle, however steadily it came."""

    async def test() -> None:
        async with Script(slowly(LIST, 1.5), then) as agent:
            with Watching(agent.port, 1) as watching:
                await asyncio.sleep(6.0)
                assert [m.servers[0].id for _, m in watching.heard[0]] == [1, 2] and agent.connections == 1

    play(test)


def test_an_agent_that_is_always_slow_is_heard_at_last() -> None:
    """Short calls alone would ask it for ever."""

    async def test() -> None:
        async with Script(*[slowly(LIST, 0.1, 1.5)] * 9) as agent:
            with Watching(agent.port, 1, draw=lambda: 1.0) as watching:
                await asyncio.sleep(6.0)
                assert watching.heard[0]

    play(test)


@pytest.mark.parametrize(
    ("nth", "acts", "found"),
    [
        (0, [], 1.1),
        (0, [says(HINTS, apart=99.0)], 1.1),
        (0, [slowly(LIST, 99.0)], 1.1),
        (0, [slowly(LIST, 9.0)], 1.9),
        (1, [well(LIST)], 4.0),
        (1, [well(LIST, keep=False)], 4.0),
        (1, [well(LIST), says(HINTS, apart=99.0)], 4.0),
        (1, [well(LIST), says(HEAD + HALF, apart=99.0)], 4.0),
        (1, [well(LIST), slowly(LATER, 99.0, 3.5)], 4.5),
        (1, [well(LIST), slowly(LATER, 9.0)], 4.8),
    ],
)
def test_silence_is_found_out_in_time_wherever_it_begins(nth: int, acts: list[Act], found: float) -> None:
    async def test() -> None:
        async with Script(*acts) as agent:
            with Watching(agent.port, 1, draw=lambda: 1.0):
                await asyncio.sleep(6.0)
                asked, again = (call[0] for call in agent.calls[nth : nth + 2])
                assert found <= again - asked < found + 0.1

    play(test)


@pytest.mark.parametrize("gateways", [1, 3, 40, 200, 10_000])
def test_a_change_is_heard_in_time_where_all_goes_as_slowly_as_it_may(gateways: int) -> None:
    """503 until a moment ago, the longest pause, a try that is given up at its latest: 9.5 s at 200
    gateways."""
    refused = says(b"HTTP/1.1 503 No room\r\nContent-Length: 0\r\n\r\n", keep=True)

    async def test() -> None:
        async with Script(well(LIST), *[refused] * 20, slowly(LATER, 9.0), well(LATER)) as agent:
            with Watching(agent.port, 1, of=gateways, draw=lambda: 1.0) as watching:
                await asyncio.sleep(100.0)
                told, members = watching.heard[0][1]
                assert members.servers[0].id == 2 and told - agent.answered[20] <= 5.0

    play(test)


def test_silence_while_dialling_is_found_out_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """A first packet with no answer, as a machine leaves it that has vanished."""

    async def test() -> None:
        loop, dialled = asyncio.get_running_loop(), []

        def dial(*given: Any) -> Any:
            dialled.append(loop.time())
            return connecting.dial(*given)

        monkeypatch.setattr(discovery_client, "dial", dial)
        with socket.create_server((HOST, 0), backlog=0) as deaf, contextlib.ExitStack() as full:
            for _ in range(3):  # nobody accepts: the queue is full
                made = full.enter_context(socket.socket())
                made.setblocking(False)
                made.connect_ex(deaf.getsockname())
            await asyncio.sleep(0.05)
            with Watching(deaf.getsockname()[1], 1, draw=lambda: 1.0):
                await asyncio.sleep(4.3)
        assert [round(at - dialled[0], 2) for at in dialled] == [0.0, 1.05, 2.1, 3.15, 4.2]

    play(test)


def test_a_call_that_cannot_be_written_is_given_up() -> None:
    """It was waited for with no limit: an agent that answers and reads nothing fills what lies between."""

    async def test() -> None:
        async with Script(well(LIST), slowly(LATER, 0.1)) as agent:
            with Watching(agent.port, 1) as watching:
                await asyncio.sleep(0.05)
                stream: Any = watching.groups[0]._stream
                stream.write = lambda _: asyncio.get_running_loop().create_future()
                await asyncio.sleep(2.0)
                assert [call[1] for call in agent.calls] == [1, 1, 2]

    play(test)


CUT = {
    "reset at once": resets(OK + b"\r\n" + LATER, 0.0),
    "reset": resets(OK + b"\r\n" + LATER, 0.1),
    "reset in the body": resets(OK + b"\r\n" + HALF, 0.1),
    "reset in the head": resets(OK, 0.0),
    "closed in the body": says(OK + b"\r\n" + HALF),
    "closed in the head": says(OK + b"X: 1\r\n"),
    "closed at once": says(),
    "closed behind the head": says(OK + b"\r\n"),
    "closed behind 1xx": says(b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "length, closed in the body": says(OK + LENGTH + LATER[:-1]),
    "length, reset in the body": resets(OK + LENGTH + LATER[:-1], 0.0),
    "longer, closed": says(OK + b"Content-Length: %d\r\n\r\n" % (len(LATER) + 1) + LATER),
    "chunked, closed in the body": says(chunked(LATER)[: -len(HALF)]),
    "chunked, closed before the last chunk": says(chunked(LATER)[:-5]),
    "chunked, reset before the last chunk": resets(chunked(LATER)[:-5], 0.1),
    "204": says(b"HTTP/1.1 204 No Content\r\n\r\n", keep=True),
    "304": says(b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", keep=True),
    "503 without a length": says(b"HTTP/1.1 503 No room\r\n\r\n" + LATER, apart=9.0),
}


@pytest.mark.parametrize("how", CUT)
def test_a_cut_answer_tells_nothing_and_is_a_lost_connection(how: str) -> None:
    async def test() -> None:
        async with Script(well(LIST), CUT[how]) as agent:
            with Watching(agent.port, 1) as watching:
                await asyncio.sleep(0.5)
                assert [len(members.servers) for _, members in watching.heard[0]] == [1]
                assert watching.groups[0]._version == 7 and watching.groups[0].backoff.silent_polls == 0
                assert [(call[1], call[2]) for call in agent.calls[1:]] == [
                    (1, "/api/targets?after=7&wait_ms=3000"),
                    (2, "/api/targets?after=7&wait_ms=100"),
                ]

    play(test)


@pytest.mark.parametrize(
    ("first", "again"),
    [
        (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
        (OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X: 1\r\n" * 500),
        (OK + b"Transfer-Encoding: chunked\r\n\r\n1", b";x=1" * 500),
    ],
)
def test_what_an_endless_answer_holds_beside_its_body_is_bounded(first: bytes, again: bytes) -> None:
    """Behind a 1xx or a last chunk nothing was counted.  A read that finds more does not wait, so neither
    did any time limit end one."""
    response: Any = HttpResponse()
    with pytest.raises(ValueError, match="too large"):
        response.feed(first)
        for _ in range(10_000_000 // len(again)):
            response.feed(again)


def late(body: bytes, seconds: float) -> Act:
    """Both machines stand still behind the answer: it and the time's end are there in one turn."""

    async def act(writer: asyncio.StreamWriter) -> bool:
        await well(body)(writer)
        loop: Any = asyncio.get_running_loop()
        loop.passed += seconds
        return True

    return act


REFUSED = says(b"HTTP/1.1 503 No room\r\nContent-Length: 0\r\n\r\n", keep=True)
OLD = EndpointSnapshot(3, True, read_endpoint_snapshot(json.loads(LIST)).endpoints)
DRAINS = json.dumps({"version": 9, "full": True, "servers": [entry("a", 1, "leaving")]}).encode()


@pytest.mark.parametrize(
    "act",
    [None, slowly(LIST, 99.0), slowly(LIST, 9.0), REFUSED, says(), resets(b"", 0.0), slowly(LIST, 1.0, 1.5)],
)
@pytest.mark.parametrize("known", [None, EndpointSnapshot(3, True, ()), OLD])
@pytest.mark.parametrize("gateways", [1, 200])
def test_a_process_is_ready_in_time_whatever_discovery_does(
    act: Act | None, known: EndpointSnapshot | None, gateways: int
) -> None:
    """With no list known, or an empty one, nothing made it ready while discovery was silent or refused."""

    async def test() -> None:
        async with Script(*[act] * 200 if act is not None else []) as agent:
            with Watching(agent.port, 1, of=gateways, known=known, draw=lambda: 1.0) as watching:
                await asyncio.sleep(2.0 if known is OLD else 5.1)
                assert watching.groups[0].ready

    play(test)


def test_a_process_without_a_list_turns_clients_away_at_once() -> None:
    """They are told, and nothing is sent to a server of which nobody told."""

    async def test() -> None:
        async with Script() as agent, gateway(config(agent.port, None)) as app:
            assert await ask(app, resp("PING")) == ["-ERR not ready"]
            await asyncio.sleep(5.1)
            ping, answer = await ask(app, resp("PING"), query(plan="free"))
            assert ping == "+PONG" and str(answer).startswith("-BUSY")

    play(test)


@pytest.mark.parametrize(
    "acts",
    [
        [slowly(DRAINS, 0.1, 0.6)],
        [slowly(DRAINS, 1.7)],
        [resets(b"", 0.0), resets(b"", 0.0), well(DRAINS)],
        [REFUSED, well(DRAINS)],
        [says(DRAINS), says(), well(DRAINS)],
        [late(DRAINS, 2.0)],
    ],
)
def test_what_an_agent_holds_goes_before_the_list_known_at_the_start(acts: list[Act]) -> None:
    """Half a second, or one lost connection, and a fresh process sent by its old list to a server that
    drains."""

    async def test() -> None:
        async with Script(*acts) as agent:
            with Watching(agent.port, 1, of=200, known=OLD) as watching:
                await asyncio.sleep(2.0)
                [(_, members)] = watching.heard[0]
                assert members.scope is ListScope.FULL and watching.groups[0].ready

    play(test)


def changes(version: int, *told: dict[str, Any]) -> Act:
    return well(json.dumps({"version": version, "full": False, "servers": told}).encode())


LEFT = {"id": "a", "state": "left"}


def test_changes_up_to_an_older_version_are_of_another_count() -> None:
    """Discovery began anew: what came between was missed, and nothing ever told so."""

    async def test() -> None:
        async with Script(well(LIST), changes(3, LEFT), well(LATER), changes(8)) as agent:
            with Watching(agent.port, 1) as watching:
                await asyncio.sleep(1.0)
                assert [m.scope for _, m in watching.heard[0]] == [ListScope.FULL, ListScope.FULL]
                assert [call[2].partition("?")[2].partition("&")[0] for call in agent.calls[:5]] == [
                    "",
                    "after=7",
                    "",
                    "after=8",
                    "after=8",
                ]

    play(test)


@pytest.mark.parametrize("act", [well(LIST), well(LIST, keep=False), changes(7), changes(3)])
def test_an_agent_that_waits_for_nothing_is_not_asked_without_end(act: Act) -> None:
    """The next call followed at once: a core for discovery alone, here and there."""

    async def test() -> None:
        async with Script(well(LIST), *[act] * 2000) as agent:
            with Watching(agent.port, 1):
                await asyncio.sleep(1.0)
                assert len(agent.calls) <= 52
                assert agent.acts

    play(test)


def test_nothing_is_held_against_a_new_address_that_comes_in_a_pause() -> None:
    """What the old one had caused went on: a single 503 at the new one, and the next call came after 3 s."""

    async def test() -> None:
        async with Script(*[REFUSED] * 99) as agent, Script(REFUSED, slowly(LIST, 99.0), well(LIST)) as moved:
            with Watching(agent.port, 1, of=200, draw=lambda: 1.0) as watching:
                group = watching.groups[0]
                while len(agent.answered) < 12:
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.1)
                now = asyncio.get_running_loop().time()
                group.backoff.silent_polls = 9  # as an outage leaves it
                group.switch_address((HOST, moved.port))
                await asyncio.sleep(4.0)
                assert watching.heard[0][0][0] < now + 1.3

    play(test)


@pytest.mark.parametrize("ends", [DiscoveryClient.stop, lambda group: group.switch_address((HOST, 1))])
def test_a_close_from_this_side_ends_no_answer(ends: Callable[[DiscoveryClient], None]) -> None:
    """It looks like an orderly one: what has come of the old list is not to be taken in."""

    async def test() -> None:
        async with Script(says(OK + b"\r\n" + LIST, apart=9.0)) as agent:
            with Watching(agent.port, 1) as watching:
                await asyncio.sleep(0.1)
                ends(watching.groups[0])
                await asyncio.sleep(0.5)
                assert agent.connections == 1 and not watching.heard[0]

    play(test)


def test_the_watch_goes_on_where_descriptors_are_scarce_for_a_while(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with Script(well(LIST), says(), well(LATER)) as agent:

            async def scarce() -> None:
                with monkeypatch.context() as patch:
                    patch.setattr(
                        connecting, "new_socket", lambda _: (_ for _ in ()).throw(OSError(errno.EMFILE, ""))
                    )
                    await asyncio.sleep(20.0)

            with Watching(agent.port, 1, of=200, draw=lambda: 1.0) as watching:
                await asyncio.sleep(0.01)
                await scarce()
                since = asyncio.get_running_loop().time()
                await asyncio.sleep(5.0)
                assert watching.heard[0][1][0] < since + 3.1

    play(test)
