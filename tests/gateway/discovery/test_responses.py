"""How discovery's HTTP responses are delimited, and the effects of slow, truncated, error and malformed responses:
discovery clients on real sockets, in virtual time."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import socket
from collections.abc import Callable
from typing import Any

import pytest

from badgeryoke.decisions.interface import ListScope
from badgeryoke.gateway import connecting
from badgeryoke.gateway.discovery import client as discovery_client
from badgeryoke.gateway.discovery.client import DiscoveryClient
from badgeryoke.gateway.discovery.endpoint_list import EndpointSnapshot, read_endpoint_snapshot
from badgeryoke.gateway.discovery.http_response import HttpResponse
from tests.support.discovery import (
    GONE_ENTRY,
    OK,
    OVERLOADED,
    Act,
    ScriptedAgent,
    WatchingFleet,
    chunked,
    responds,
    responds_before_a_stall,
    responds_slowly,
    sends,
    sends_then_resets,
)
from tests.support.running import send_commands
from tests.support.stand_ins import HOST, config, entry, gateway, query, resp
from tests.support.virtual_time import run_in_virtual_time

LIST = json.dumps({"version": 7, "full": True, "servers": [entry("a", 1)]}).encode()
NEXT_LIST = json.dumps({"version": 8, "full": True, "servers": [entry("b", 2)]}).encode()
HALF_NEXT_LIST = NEXT_LIST[: len(NEXT_LIST) // 2]
LENGTH = b"Content-Length: %d\r\n\r\n" % len(NEXT_LIST)
HEAD, HINTS = OK + LENGTH, b"HTTP/1.1 103 Early Hints\r\n\r\n"
INDENTED = json.dumps(json.loads(LIST), indent=2).encode() + b"\n"
DELIMITED_BY_CLOSE = {
    "neither length nor close": sends(OK + b"\r\n" + LIST),
    "close": sends(OK + b"Connection: close\r\n\r\n", LIST, interval_s=0.1),
    "1.0": sends(b"HTTP/1.0 200 OK\r\n\r\n" + LIST),
    "1.0, keep-alive": sends(b"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n" + LIST),
    "identity": sends(OK + b"Transfer-Encoding: identity\r\n\r\n" + LIST),
    "1xx first": sends(
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nContent-Length: 3\r\n\r\n",
        OK + b"\r\n" + LIST,
        interval_s=0.1,
    ),
    "indented, byte by byte": sends(*(bytes([b]) for b in OK + b"\r\n" + INDENTED), interval_s=0.001),
    "length, close": responds(LIST, keep_open=False),
    "length, 1.0": sends(b"HTTP/1.0 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LIST) + LIST),
}


@pytest.mark.parametrize("framing", DELIMITED_BY_CLOSE)
def test_a_response_delimited_by_the_end_of_its_connection_is_valid(framing: str) -> None:
    """Regression: a response without a length was rejected, so no list was ever received.  After any other valid
    response that ended its connection a pause and a short poll followed: ten polls a second without end."""

    async def test() -> None:
        async with ScriptedAgent(*[DELIMITED_BY_CLOSE[framing]] * 5) as agent:
            with WatchingFleet(agent.port, 1, gateway_count=200) as fleet:
                client = fleet.clients[0]
                client.backoff._pause_s = client.backoff.longest_pause_s  # as after an overload
                await asyncio.sleep(3.0)
                assert len(fleet.notifications[0]) == len(agent.answered_at) == 5 and not client._logged_fault
                assert [call[1] for call in agent.polls] == [1, 2, 3, 4, 5, 6]
                assert all("after=7&wait_ms=3000" in call[2] for call in agent.polls[1:])
                gaps = [call[0] - at for call, at in zip(agent.polls[1:], agent.answered_at, strict=True)]
                # By the protocol a watch continues if the next poll comes within 0.2 s.
                assert max(gaps) < 0.1

    run_in_virtual_time(test)


@pytest.mark.parametrize(
    "second_act",
    [
        pytest.param(responds_slowly(NEXT_LIST, 1.5), id="from the start"),
        pytest.param(responds_slowly(NEXT_LIST, 1.5, 2.9), id="at the end of the wait"),
        pytest.param(responds_slowly(NEXT_LIST, 1.5, 0.0, HINTS), id="after a 1xx"),
        pytest.param(responds_slowly(NEXT_LIST, 1.5, 2.9, HINTS), id="1xx, then at the end of the wait"),
        pytest.param(
            responds_slowly(NEXT_LIST, 1.5, 2.9, HEAD), id="early head, then at the end of the wait"
        ),
    ],
)
def test_a_slow_response_is_accepted_while_bytes_keep_arriving(second_act: Act) -> None:
    """Regression: a response that began at the end of the wait was abandoned midway, even if bytes kept arriving."""

    async def test() -> None:
        async with ScriptedAgent(responds_slowly(LIST, 1.5), second_act) as agent:
            with WatchingFleet(agent.port, 1) as fleet:
                await asyncio.sleep(6.0)
                assert [m.servers[0].id for _, m in fleet.notifications[0]] == [
                    1,
                    2,
                ] and agent.connections == 1

    run_in_virtual_time(test)


def test_an_agent_that_is_always_slow_gets_a_long_poll_eventually() -> None:
    """With short polls alone the client would retry for ever."""

    async def test() -> None:
        async with ScriptedAgent(*[responds_slowly(LIST, 0.1, 1.5)] * 9) as agent:
            with WatchingFleet(agent.port, 1, draw=lambda: 1.0) as fleet:
                await asyncio.sleep(6.0)
                assert fleet.notifications[0]

    run_in_virtual_time(test)


@pytest.mark.parametrize(
    ("nth", "acts", "detected_s"),
    [
        pytest.param(0, [], 1.1, id="first poll: nothing"),
        pytest.param(0, [sends(HINTS, interval_s=99.0)], 1.1, id="first poll: after a 1xx"),
        pytest.param(0, [responds_slowly(LIST, 99.0)], 1.1, id="first poll: after the head"),
        pytest.param(0, [responds_slowly(LIST, 9.0)], 1.9, id="first poll: trickling"),
        pytest.param(1, [responds(LIST)], 4.0, id="long poll: nothing"),
        pytest.param(1, [responds(LIST, keep_open=False)], 4.0, id="long poll: on a new connection"),
        pytest.param(1, [responds(LIST), sends(HINTS, interval_s=99.0)], 4.0, id="long poll: after a 1xx"),
        pytest.param(
            1,
            [responds(LIST), sends(HEAD + HALF_NEXT_LIST, interval_s=99.0)],
            4.0,
            id="long poll: in the body",
        ),
        pytest.param(
            1, [responds(LIST), responds_slowly(NEXT_LIST, 99.0, 3.5)], 4.5, id="long poll: after a late head"
        ),
        pytest.param(1, [responds(LIST), responds_slowly(NEXT_LIST, 9.0)], 4.8, id="long poll: trickling"),
    ],
)
def test_silence_is_detected_in_time_wherever_it_begins(nth: int, acts: list[Act], detected_s: float) -> None:
    async def test() -> None:
        async with ScriptedAgent(*acts) as agent:
            with WatchingFleet(agent.port, 1, draw=lambda: 1.0):
                await asyncio.sleep(6.0)
                polled, retried = (call[0] for call in agent.polls[nth : nth + 2])
                assert detected_s <= retried - polled < detected_s + 0.1

    run_in_virtual_time(test)


@pytest.mark.parametrize("gateways", [1, 3, 40, 200, 10_000])
def test_a_change_is_notified_in_time_after_the_longest_backoff_and_timeout(gateways: int) -> None:
    """The worst case: responses with 503, then the longest pause, then a poll that is abandoned as late as possible.
    Regression: this took 9.5 s at 200 gateways."""

    async def test() -> None:
        async with ScriptedAgent(
            responds(LIST), *[REJECTED] * 20, responds_slowly(NEXT_LIST, 9.0), responds(NEXT_LIST)
        ) as agent:
            with WatchingFleet(agent.port, 1, gateway_count=gateways, draw=lambda: 1.0) as fleet:
                await asyncio.sleep(100.0)
                notified_at, change = fleet.notifications[0][1]
                assert change.servers[0].id == 2 and notified_at - agent.answered_at[20] <= 5.0

    run_in_virtual_time(test)


def test_silence_while_connecting_is_detected_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """A SYN without an answer, as after the loss of a machine."""

    async def test() -> None:
        loop, connected_at = asyncio.get_running_loop(), []

        def recording_dial(*arguments: Any) -> Any:
            connected_at.append(loop.time())
            return connecting.dial(*arguments)

        monkeypatch.setattr(discovery_client, "dial", recording_dial)
        with (
            socket.create_server((HOST, 0), backlog=0) as unresponsive_server,
            contextlib.ExitStack() as pending_connections,
        ):
            for _ in range(3):  # nobody accepts: the queue is full
                pending_socket = pending_connections.enter_context(socket.socket())
                pending_socket.setblocking(False)
                pending_socket.connect_ex(unresponsive_server.getsockname())
            await asyncio.sleep(0.05)
            with WatchingFleet(unresponsive_server.getsockname()[1], 1, draw=lambda: 1.0):
                await asyncio.sleep(4.3)
        assert [round(at - connected_at[0], 2) for at in connected_at] == [0.0, 1.05, 2.1, 3.15, 4.2]

    run_in_virtual_time(test)


def test_a_poll_that_cannot_be_written_is_abandoned() -> None:
    """Regression: the write had no time limit; with an agent that does not read, the buffers in between fill up."""

    async def test() -> None:
        async with ScriptedAgent(responds(LIST), responds_slowly(NEXT_LIST, 0.1)) as agent:
            with WatchingFleet(agent.port, 1) as fleet:
                await asyncio.sleep(0.05)
                stream: Any = fleet.clients[0]._stream
                stream.write = lambda _: asyncio.get_running_loop().create_future()
                await asyncio.sleep(2.0)
                assert [call[1] for call in agent.polls] == [1, 1, 2]

    run_in_virtual_time(test)


TRUNCATED = {
    "reset at once": sends_then_resets(OK + b"\r\n" + NEXT_LIST, 0.0),
    "reset": sends_then_resets(OK + b"\r\n" + NEXT_LIST, 0.1),
    "reset in the body": sends_then_resets(OK + b"\r\n" + HALF_NEXT_LIST, 0.1),
    "reset in the head": sends_then_resets(OK, 0.0),
    "closed in the body": sends(OK + b"\r\n" + HALF_NEXT_LIST),
    "closed in the head": sends(OK + b"X: 1\r\n"),
    "closed at once": sends(),
    "closed behind the head": sends(OK + b"\r\n"),
    "closed behind 1xx": sends(b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "length, closed in the body": sends(OK + LENGTH + NEXT_LIST[:-1]),
    "length, reset in the body": sends_then_resets(OK + LENGTH + NEXT_LIST[:-1], 0.0),
    "longer, closed": sends(OK + b"Content-Length: %d\r\n\r\n" % (len(NEXT_LIST) + 1) + NEXT_LIST),
    "chunked, closed in the body": sends(chunked(NEXT_LIST)[: -len(HALF_NEXT_LIST)]),
    "chunked, closed before the last chunk": sends(chunked(NEXT_LIST)[:-5]),
    "chunked, reset before the last chunk": sends_then_resets(chunked(NEXT_LIST)[:-5], 0.1),
    "204": sends(b"HTTP/1.1 204 No Content\r\n\r\n", keep_open=True),
    "304": sends(b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", keep_open=True),
    "503 without a length": sends(b"HTTP/1.1 503 No room\r\n\r\n" + NEXT_LIST, interval_s=9.0),
}


@pytest.mark.parametrize("framing", TRUNCATED)
def test_a_truncated_response_is_ignored_and_counts_as_a_lost_connection(framing: str) -> None:
    async def test() -> None:
        async with ScriptedAgent(responds(LIST), TRUNCATED[framing]) as agent:
            with WatchingFleet(agent.port, 1) as fleet:
                await asyncio.sleep(0.5)
                assert [len(change.servers) for _, change in fleet.notifications[0]] == [1]
                assert fleet.clients[0]._version == 7 and fleet.clients[0].backoff.silent_polls == 0
                assert [(call[1], call[2]) for call in agent.polls[1:]] == [
                    (1, "/api/targets?after=7&wait_ms=3000"),
                    (2, "/api/targets?after=7&wait_ms=100"),
                ]

    run_in_virtual_time(test)


@pytest.mark.parametrize(
    ("first", "repeated"),
    [
        pytest.param(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100, id="1xx responses"),
        pytest.param(OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X: 1\r\n" * 500, id="trailer"),
        pytest.param(OK + b"Transfer-Encoding: chunked\r\n\r\n1", b";x=1" * 500, id="chunk extension"),
    ],
)
def test_an_endless_response_is_bounded_beside_its_body(first: bytes, repeated: bytes) -> None:
    """Regression: bytes after a 1xx or the last chunk were not counted.  A read that finds data does not wait, so no
    time limit ended such a response either."""
    response: Any = HttpResponse()
    with pytest.raises(ValueError, match="too large"):
        response.feed(first)
        for _ in range(10_000_000 // len(repeated)):
            response.feed(repeated)


REJECTED = sends(OVERLOADED, keep_open=True)
CACHED = EndpointSnapshot(3, True, read_endpoint_snapshot(json.loads(LIST)).endpoints)
DRAINING = json.dumps({"version": 9, "full": True, "servers": [entry("a", 1, "leaving")]}).encode()


@pytest.mark.parametrize(
    "act",
    [
        pytest.param(None, id="silent"),
        pytest.param(responds_slowly(LIST, 99.0), id="silent after the head"),
        pytest.param(responds_slowly(LIST, 9.0), id="trickling"),
        pytest.param(REJECTED, id="503"),
        pytest.param(sends(), id="closes"),
        pytest.param(sends_then_resets(b"", 0.0), id="resets"),
        pytest.param(responds_slowly(LIST, 1.0, 1.5), id="slow"),
    ],
)
@pytest.mark.parametrize(
    "cached",
    [
        pytest.param(None, id="no cached list"),
        pytest.param(EndpointSnapshot(3, True, ()), id="an empty cached list"),
        pytest.param(CACHED, id="a cached list"),
    ],
)
@pytest.mark.parametrize("gateways", [1, 200])
def test_a_process_becomes_ready_in_time_whatever_discovery_does(
    act: Act | None, cached: EndpointSnapshot | None, gateways: int
) -> None:
    """Regression: without a cached list, or with an empty one, a process was never ready while discovery was silent or
    rejected its polls."""

    async def test() -> None:
        async with ScriptedAgent(*[act] * 200 if act is not None else []) as agent:
            with WatchingFleet(
                agent.port, 1, gateway_count=gateways, cached=cached, draw=lambda: 1.0
            ) as fleet:
                await asyncio.sleep(2.0 if cached is CACHED else 5.1)
                assert fleet.clients[0].ready

    run_in_virtual_time(test)


def test_a_process_without_an_endpoint_list_rejects_requests_at_once() -> None:
    """Clients get an error, and nothing is sent to a server that discovery has not listed."""

    async def test() -> None:
        async with ScriptedAgent() as agent, gateway(config(agent.port, None)) as app:
            assert await send_commands(app, resp("PING")) == ["-ERR not ready"]
            await asyncio.sleep(5.1)
            ping, answer = await send_commands(app, resp("PING"), query(plan="free"))
            assert ping == "+PONG" and str(answer).startswith("-BUSY")

    run_in_virtual_time(test)


@pytest.mark.parametrize(
    "acts",
    [
        pytest.param([responds_slowly(DRAINING, 0.1, 0.6)], id="late response"),
        pytest.param([responds_slowly(DRAINING, 1.7)], id="slow response"),
        pytest.param(
            [sends_then_resets(b"", 0.0), sends_then_resets(b"", 0.0), responds(DRAINING)],
            id="two resets first",
        ),
        pytest.param([REJECTED, responds(DRAINING)], id="503 first"),
        pytest.param([sends(DRAINING), sends(), responds(DRAINING)], id="no HTTP and a close first"),
        pytest.param([responds_before_a_stall(DRAINING, 2.0)], id="stalled machine"),
    ],
)
def test_the_agents_list_takes_precedence_over_the_cached_one(acts: list[Act]) -> None:
    """Regression: after half a second, or one lost connection, a new process used its cached list and sent to a
    draining server."""

    async def test() -> None:
        async with ScriptedAgent(*acts) as agent:
            with WatchingFleet(agent.port, 1, gateway_count=200, cached=CACHED) as fleet:
                await asyncio.sleep(2.0)
                [(_, change)] = fleet.notifications[0]
                assert change.scope is ListScope.FULL and fleet.clients[0].ready

    run_in_virtual_time(test)


def changes(version: int, *servers: dict[str, Any]) -> Act:
    return responds(json.dumps({"version": version, "full": False, "servers": servers}).encode())


def test_changes_up_to_an_older_version_make_the_client_fetch_the_complete_list() -> None:
    """Regression: when discovery restarted its versions, the changes in between were missed without any error."""

    async def test() -> None:
        async with ScriptedAgent(
            responds(LIST), changes(3, GONE_ENTRY), responds(NEXT_LIST), changes(8)
        ) as agent:
            with WatchingFleet(agent.port, 1) as fleet:
                await asyncio.sleep(1.0)
                assert [m.scope for _, m in fleet.notifications[0]] == [ListScope.FULL, ListScope.FULL]
                assert [call[2].partition("?")[2].partition("&")[0] for call in agent.polls[:5]] == [
                    "",
                    "after=7",
                    "",
                    "after=8",
                    "after=8",
                ]

    run_in_virtual_time(test)


@pytest.mark.parametrize(
    "act",
    [
        pytest.param(responds(LIST), id="complete list"),
        pytest.param(responds(LIST, keep_open=False), id="complete list, then close"),
        pytest.param(changes(7), id="no changes"),
        pytest.param(changes(3), id="an older version"),
    ],
)
def test_polls_of_an_agent_that_holds_none_are_spaced(act: Act) -> None:
    """Regression: the next poll followed at once, which took a CPU core on both sides."""

    async def test() -> None:
        async with ScriptedAgent(responds(LIST), *[act] * 2000) as agent:
            with WatchingFleet(agent.port, 1):
                await asyncio.sleep(1.0)
                assert len(agent.polls) <= 52
                assert agent.acts

    run_in_virtual_time(test)


def test_switching_the_address_resets_the_backoff() -> None:
    """Regression: the old address's backoff went on; after a single 503 at the new one the next poll came
    after 3 s."""

    async def test() -> None:
        async with (
            ScriptedAgent(*[REJECTED] * 99) as agent,
            ScriptedAgent(REJECTED, responds_slowly(LIST, 99.0), responds(LIST)) as new_agent,
        ):
            with WatchingFleet(agent.port, 1, gateway_count=200, draw=lambda: 1.0) as fleet:
                client = fleet.clients[0]
                while len(agent.answered_at) < 12:
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.1)
                now = asyncio.get_running_loop().time()
                client.backoff.silent_polls = 9  # as after an outage
                client.switch_address((HOST, new_agent.port))
                await asyncio.sleep(4.0)
                assert fleet.notifications[0][0][0] < now + 1.3

    run_in_virtual_time(test)


@pytest.mark.parametrize(
    "end",
    [
        pytest.param(DiscoveryClient.stop, id="stop"),
        pytest.param(lambda client: client.switch_address((HOST, 1)), id="switch_address"),
    ],
)
def test_closing_the_connection_from_this_side_completes_no_response(
    end: Callable[[DiscoveryClient], None],
) -> None:
    """The close looks like the orderly end of a response, but a partial list from the old address must not be
    applied."""

    async def test() -> None:
        async with ScriptedAgent(sends(OK + b"\r\n" + LIST, interval_s=9.0)) as agent:
            with WatchingFleet(agent.port, 1) as fleet:
                await asyncio.sleep(0.1)
                end(fleet.clients[0])
                await asyncio.sleep(0.5)
                assert agent.connections == 1 and not fleet.notifications[0]

    run_in_virtual_time(test)


def test_the_watch_survives_a_shortage_of_descriptors(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with ScriptedAgent(responds(LIST), sends(), responds(NEXT_LIST)) as agent:

            async def exhaust_descriptors() -> None:
                with monkeypatch.context() as patch:
                    patch.setattr(
                        connecting, "new_socket", lambda _: (_ for _ in ()).throw(OSError(errno.EMFILE, ""))
                    )
                    await asyncio.sleep(20.0)

            with WatchingFleet(agent.port, 1, gateway_count=200, draw=lambda: 1.0) as fleet:
                await asyncio.sleep(0.01)
                await exhaust_descriptors()
                since = asyncio.get_running_loop().time()
                await asyncio.sleep(5.0)
                assert fleet.notifications[0][1][0] < since + 3.1

    run_in_virtual_time(test)
