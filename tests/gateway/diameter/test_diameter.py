"""The Diameter path on real sockets, against stand-ins that build their messages by themselves."""

from __future__ import annotations

import asyncio
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any, cast

import pytest
from tornado.iostream import IOStream

from badgeryoke.decisions.interface import Verdict
from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.application import GatewayApplication
from badgeryoke.gateway.attempt import Attempt, Request
from badgeryoke.gateway.config.model import Config
from badgeryoke.gateway.diameter import client_connection, upstream_connection
from badgeryoke.gateway.diameter.peer import Peer, PeerState
from badgeryoke.gateway.diameter.peer import PeerIdentity as PeerIdentity
from badgeryoke.gateway.diameter.upstream_connection import DiameterUpstream
from badgeryoke.gateway.wall_clock import WallClock
from tests.support.dispatcher_bench import FakeLoop
from tests.support.running import ask, until
from tests.support.running import run_test as play
from tests.support.stand_ins import (
    KEYED,
    NOW_MS,
    SAFE,
    Backend,
    Books,
    Counter,
    DiameterServer,
    Discovery,
    Got,
    avp,
    avps,
    ccr,
    cer,
    config,
    connect,
    entry,
    event_time,
    gateway,
    message,
    one_gateway,
    query,
    read_message,
    read_reply,
    roster,
)

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def with_gateway(
    test: Callable[[GatewayApplication, Any], Awaitable[None]], kind: str = "std", script: Any = None
) -> None:
    """Run a test against one gateway and one server of the kind."""

    async def run() -> None:
        async with one_gateway(script=script, kind=kind, diameter=True) as (app, node, _):
            await test(app, node)

    play(run)


async def open_peer(app: GatewayApplication, host: str = "pos.example") -> Streams:
    reader, writer = await connect(app.lifecycle.diameter_address)
    writer.write(cer(host))
    got = await read_message(reader)
    assert (got.command, got.flags, got.result, got.avps[264]) == (257, 0, 2001, b"gw0.yoke.example")
    return reader, writer


async def call(peer: Streams, *sent: bytes) -> list[Got]:
    peer[1].write(b"".join(sent))
    return [await read_message(peer[0]) for _ in sent]


def test_an_event_is_served_and_answered_in_standard_terms() -> None:
    async def test(app: GatewayApplication, node: Backend) -> None:
        peer = await open_peer(app)
        proxy = avp(284, avp(280, "p") + avp(33, "state"))
        debit, check = sorted(
            await call(peer, ccr(7, hop=70, extra=proxy), ccr(8, hop=80, action=2)), key=lambda got: got.hop
        )
        assert (debit.result, debit.hop, debit.end, debit.flags) == (2001, 70, 7, 0x40)
        assert debit.avps[263] == b"pos.example;1;7" and debit.avps[284] == avps(proxy)[284]
        assert struct.unpack(">Q", avps(debit.avps[431])[417]) == (2,)
        assert avps(debit.avps[440])[442] == b"value"
        assert (check.result, check.avps[422]) == (2001, b"\0\0\0\0")
        assert sorted((c[0], c[3].split(b",")[0]) for c in node.commands) == [
            (b"SVC.QUERY", b"c=balance-check"),
            (b"SVC.SUBMIT", b"c=load-send"),
        ]
        peer[1].close()

    with_gateway(test)


@pytest.mark.parametrize(
    ("check", "debit", "sent"),
    [(None, None, ["read", "write"]), ("list", "pay", ["list", "pay"]), ("gone", "gone", [])],
)
def test_the_classes_of_an_event_are_those_that_the_file_names(
    check: str | None, debit: str | None, sent: list[str]
) -> None:
    async def test() -> None:
        async with Backend() as node, Discovery(entry("a", node.port)) as list_:
            classes = tuple(
                replace(cls, name=name)
                for cls, name in ((SAFE, "read"), (SAFE, "list"), (KEYED, "write"), (KEYED, "pay"))
            )
            made = config(list_.port, None, roster(entry("a", node.port)), True, classes=classes)
            assert made.diameter is not None
            app = GatewayApplication(
                replace(made, diameter=replace(made.diameter, check_class=check, debit_class=debit)),
                lambda: NOW_MS,
            )
            app.start()
            await until(lambda: app.parts.discovery.ready)
            peer = await open_peer(app)
            got = await call(peer, ccr(7), ccr(8, action=2))
            assert [one.result for one in got] == ([2001, 2001] if sent else [5031, 5031])
            assert sorted(c[3].decode().split(",")[0][2:] for c in node.commands) == sent
            peer[1].close()
            app.end()
            await app.done.wait()

    play(test)


FAULTS = [
    pytest.param(ccr(9, leave_out=436), 5005, id="Requested-Action is missing"),
    pytest.param(ccr(9, leave_out=263), 5005, id="Session-Id is missing"),
    pytest.param(ccr(9, leave_out=437), 5005, id="a debit without units"),
    pytest.param(ccr(9, extra=avp(999, b"xy")), 5001, id="unknown mandatory AVP"),
    pytest.param(ccr(9, extra=avp(415, 0, vendor=10415)), 5001, id="mandatory AVP of a vendor"),
    pytest.param(ccr(9, extra=avp(415, 0)), 5009, id="CC-Request-Number twice"),
    pytest.param(ccr(9, extra=struct.pack(">II", 1, 0x40 << 24 | 99)), 5014, id="AVP too long"),
    pytest.param(ccr(9, leave_out=415, extra=avp(415, b"\0")), 5014, id="number of one byte"),
    pytest.param(ccr(9, leave_out=416, extra=avp(416, 1)), 5004, id="INITIAL_REQUEST"),
    pytest.param(ccr(9, action=1), 5004, id="REFUND_ACCOUNT"),
    pytest.param(ccr(9, units=0), 5004, id="no units"),
    pytest.param(ccr(9, customer=1 << 40), 5030, id="unknown subscriber"),
    pytest.param(ccr(9, service=77), 5031, id="unknown service"),
    pytest.param(ccr(9, realm="elsewhere.example"), 3003, id="another realm"),
    pytest.param(ccr(9, extra=avp(293, "gw9.yoke.example")), 3002, id="another host"),
    pytest.param(ccr(9, flags=0xE0), 3008, id="E bit in a request"),
    pytest.param(message(0xC0, 272, 16777238, 9, 9, b""), 3007, id="another application"),
    pytest.param(message(0x80, 271, 3, 9, 9, b""), 3001, id="another command"),
    pytest.param(ccr(9, flags=0xD0), 5012, id="T flag, never seen, no time"),
    pytest.param(ccr(9, flags=0xD0, extra=event_time(NOW_MS - 2000)), 5012, id="T flag, outside the window"),
    pytest.param(ccr(9, flags=0xD0, extra=event_time(NOW_MS + 5000)), 5012, id="T flag, from the future"),
]


@pytest.mark.parametrize(("sent", "result"), FAULTS)
def test_what_cannot_be_served_gets_its_result_code_and_is_not_sent(sent: bytes, result: int) -> None:
    async def test(app: GatewayApplication, node: Backend) -> None:
        peer = await open_peer(app)
        [got] = await call(peer, sent)
        assert (got.result, bool(got.flags & 0x20)) == (result, 3000 <= result < 4000)
        assert (279 in got.avps) == (result in (5001, 5004, 5005, 5009, 5014, 5030, 5031))
        assert not node.commands
        [good] = await call(peer, ccr(10))  # the connection is none the worse
        assert good.result == 2001
        peer[1].close()

    with_gateway(test)


def test_a_repeat_inside_the_window_is_sent_with_the_key_of_its_identity() -> None:
    async def test(app: GatewayApplication, node: Backend) -> None:
        peer = await open_peer(app)
        [got] = await call(peer, ccr(9, flags=0xD0, extra=event_time(NOW_MS)))
        assert got.result == 2001 and b"r=1" in node.commands[0][3]
        peer[1].close()

    with_gateway(test)


CLOSED = [
    pytest.param(b"\x02" + ccr(9)[1:], 5011, id="version 2"),
    pytest.param(struct.pack(">IIIII", 1 << 24 | 0xFFFFF0, 0xC0 << 24 | 272, 4, 9, 9), 5015, id="oversized"),
    pytest.param(struct.pack(">IIIII", 1 << 24 | 12, 0xC0 << 24 | 272, 4, 9, 9), 5015, id="too short"),
    pytest.param(ccr(9)[:30], None, id="cut"),
]


@pytest.mark.parametrize(("sent", "result"), CLOSED)
def test_a_message_that_cannot_be_framed_costs_its_own_connection(sent: bytes, result: int | None) -> None:
    async def test(app: GatewayApplication, node: Backend) -> None:
        other, peer = await open_peer(app), await open_peer(app)
        peer[1].write(sent)
        if result is None:
            peer[1].write_eof()
        else:
            assert (await read_message(peer[0])).result == result
        assert await peer[0].read() == b""
        [good] = await call(other, ccr(10))
        assert good.result == 2001
        other[1].close()

    with_gateway(test)


WRONG = [
    pytest.param(ccr(1), None, id="a request before the CER"),
    pytest.param(message(0, 257, 0, 1, 1, avp(264, "h") + avp(258, 4)), None, id="a CEA unasked"),
    pytest.param(cer(app=1), 5010, id="no common application"),
    pytest.param(cer(host="gw0.yoke.example"), 3010, id="our own name"),
    pytest.param(message(0x80, 257, 0, 1, 1, avp(296, "example")), 5005, id="no Origin-Host"),
]


@pytest.mark.parametrize(("sent", "result"), WRONG)
def test_a_wrong_peer_is_told_and_closed(sent: bytes, result: int | None) -> None:
    async def test(app: GatewayApplication, node: Backend) -> None:
        reader, writer = await connect(app.lifecycle.diameter_address)
        writer.write(sent)
        if result is not None:
            assert (await read_message(reader)).result == result
        assert await reader.read() == b""

    with_gateway(test)


def test_watchdog_and_disconnection() -> None:
    async def test(app: GatewayApplication, node: Backend) -> None:
        peer = await open_peer(app)
        [dwa] = await call(peer, message(0x80, 280, 0, 5, 5, avp(264, "pos.example") + avp(296, "example")))
        assert (dwa.command, dwa.result, dwa.hop) == (280, 2001, 5)
        [dpa] = await call(peer, message(0x80, 282, 0, 6, 6, avp(264, "pos.example") + avp(273, 0)))
        assert (dpa.command, dpa.result) == (282, 2001)
        assert await peer[0].read() == b""

    with_gateway(test)


def test_at_the_end_a_client_gets_its_answer_and_then_a_dpr() -> None:
    async def test(app: GatewayApplication, node: Backend) -> None:
        peer = await open_peer(app)
        peer[1].write(ccr(9))
        await node.books.arrived.wait()
        app.end()
        node.writers[0].write(b"*1\r\n$4\r\nlast\r\n")
        assert (await read_message(peer[0])).result == 2001
        dpr = await read_message(peer[0])
        assert (dpr.command, dpr.avps[273]) == (282, b"\0\0\0\0")  # REBOOTING
        peer[1].write(message(0, 282, 0, dpr.hop, dpr.end, avp(268, 2001)))
        assert await peer[0].read() == b""

    with_gateway(test, script=[None])


def test_a_retry_over_a_new_connection_joins_the_running_query() -> None:
    """The first connection breaks after the debit was sent on: one execution answers the retry too."""

    async def test(app: GatewayApplication, node: Backend) -> None:
        first = await open_peer(app)
        first[1].write(ccr(9))
        await node.books.arrived.wait()
        first[1].transport.abort()
        again = await open_peer(app)
        again[1].write(ccr(9, flags=0xD0, hop=91))
        [dwa] = await call(again, message(0x80, 280, 0, 5, 5, b""))  # the retry has been read
        assert dwa.command == 280
        node.writers[0].write(b"*1\r\n$4\r\nlast\r\n")
        got = await read_message(again[0])
        assert (got.result, got.hop, avps(got.avps[440])[442]) == (2001, 91, b"last")
        [stored] = await call(again, ccr(9, flags=0xD0, hop=92))  # and once more, after the answer
        assert (stored.result, stored.hop) == (2001, 92)
        assert len(node.commands) == 1 and node.books.units[5] == 2
        again[1].close()

    with_gateway(test, script=[None])


def test_identifiers_of_two_requests_are_not_sent_on() -> None:
    async def test(app: GatewayApplication, node: Backend) -> None:
        peer = await open_peer(app)
        results = [
            (await call(peer, sent))[0].result
            for sent in (
                ccr(9, "pos.example;1;s"),
                ccr(10, "pos.example;1;s"),
                ccr(9, "pos.example;1;t"),
                ccr(10, "pos.example;1;s", number=1),
            )
        ]
        assert results == [2001, 5012, 5012, 2001] and len(node.commands) == 2
        peer[1].close()

    with_gateway(test)


def test_a_refusal_says_when_to_come_back_and_is_forgotten() -> None:
    async def test(app: GatewayApplication, node: Backend) -> None:
        peer = await open_peer(app)
        got = [(await call(peer, ccr(n, service=2, units=6)))[0] for n in range(4)]
        assert [g.result for g in got] == [2001, 3004, 3004, 3004]
        assert got[1].flags & 0x20 and got[1].avps[281].startswith(b"retry after ")
        assert len(node.commands) == 1
        [other] = await call(peer, ccr(1, units=6, customer=6))  # it never ran: it may be sent now
        assert other.result == 2001
        peer[1].close()

    with_gateway(test)


def test_a_client_not_on_the_list_is_unknown() -> None:
    async def test() -> None:
        made = config(1, None, diameter=True)
        assert made.diameter is not None
        shut: Config = replace(made, diameter=replace(made.diameter, clients=frozenset({"known.example"})))
        async with gateway(shut) as app:
            reader, writer = await connect(app.lifecycle.diameter_address)
            writer.write(cer())
            assert (await read_message(reader)).result == 3010
            assert await reader.read() == b""

    play(test)


SERVER_ANSWERS = [
    pytest.param("load-send", [3004], b"value", 2, id="TOO_BUSY never ran and goes elsewhere"),
    pytest.param("load-send", [5012], b"value", 2, id="another failure may have run: repeated under its key"),
    pytest.param("balance-check", [4012], b"value", 2, id="a safe one is repeated"),
    pytest.param("load-send", [3004, 3004, 3004], "-BUSY", 3, id="busy everywhere is a refusal"),
]


@pytest.mark.parametrize(("cls", "script", "answer", "sent"), SERVER_ANSWERS)
def test_what_a_diameter_server_answers_becomes_an_outcome(
    cls: str, script: list[int | None], answer: Any, sent: int
) -> None:
    async def test(app: GatewayApplication, node: DiameterServer) -> None:
        key = "5c0f6e1a2b3d4c59" if cls == "load-send" else ""
        [got] = await ask(app, query("r", cls, key=key, body="body"))
        assert got == answer or str(got).startswith(str(answer))
        assert len(node.got) == sent
        first = node.got[0]
        assert first.avps[416] == b"\0\0\0\4" and avps(first.avps[440])[442] == b"body"
        assert first.avps[436] == struct.pack(">I", 0 if key else 2)
        # Only after a loss that may have run does the repeat carry the T flag; the Session-Id is the same.
        assert bool(node.got[-1].flags & 0x10) == (script[0] != 3004)
        assert {g.avps[263] for g in node.got} == {first.avps[263]}

    with_gateway(test, "diameter", script)


@pytest.mark.parametrize(("action", "result"), [(0, 5012), (2, 3004)])
def test_a_silent_server_costs_no_request_its_answer(action: int, result: int) -> None:
    """A debit that may have run is failed, and so is its repeat; a check never harms, and is refused."""
    classes = tuple(replace(cls, latency_objective_ms=1000.0, deadline_ms=1000.0) for cls in (SAFE, KEYED))

    async def test() -> None:
        async with DiameterServer(script=[None] * 9) as node:
            listed = roster(entry("a", node.port, kind="diameter"))
            made = config(1, None, listed, diameter=True, classes=classes)
            async with gateway(made, WallClock(time.monotonic, time.time)) as app:
                peer = await open_peer(app)
                [got] = await call(peer, ccr(9, action=action))
                assert got.result == result and 1 <= len(node.got) <= 3
                assert len({g.avps[263] for g in node.got}) == 1
                if action == 0:
                    before = len(node.got)
                    [again] = await call(peer, ccr(9, action=action, flags=0xD0, hop=99))
                    assert again.result == result and len(node.got) == before
                peer[1].close()

    play(test)


def test_a_silent_peer_is_asked_and_then_closed() -> None:
    """RFC 3539: a DWR after silence, the end of the connection after more."""

    class Stream:
        sent, over = b"", False

        def set_close_callback(self, _: object) -> None:
            pass

        def closed(self) -> bool:
            return self.over

        def writing(self) -> bool:
            return False

        def write(self, data: bytes) -> None:
            self.sent += data

        def close(self) -> None:
            self.over = True

    loop, stream = FakeLoop(), Stream()
    me = PeerIdentity("gw0.yoke.example", "yoke.example", "127.0.0.1", 1)
    peer = Peer(stream, me, ActorScheduler(loop), 30.0)  # type: ignore[arg-type]
    peer.deliver(peer._arrived, cer())
    loop.run(35.0)
    assert stream.sent.count(struct.pack(">I", 0x80 << 24 | 280)) == 1 and not stream.over
    peer.deliver(peer._arrived, message(0, 280, 0, 1, 1, avp(268, 2001)))
    loop.run(20.0)
    assert not stream.over
    loop.run(100.0)
    assert stream.over


def test_a_diameter_server_that_leaves_is_parted_from_once_it_has_answered() -> None:
    async def test() -> None:
        async with one_gateway(kind="diameter", diameter=True) as (app, node, list_):
            assert await ask(app, query()) == [b"value"]
            while len(list_.calls) < 2:
                await asyncio.sleep(0)
            list_.change(entry("a", node.port, "leaving", "diameter"))
            await node.parted.wait()
            assert str((await ask(app, query()))[0]).startswith("-BUSY")

    play(test)


def test_a_lost_diameter_server_may_have_run_what_was_written() -> None:
    async def test(app: GatewayApplication, node: DiameterServer) -> None:
        reader, writer = await connect(app.lifecycle.address)
        writer.write(query("r", "load-send", key="5c0f6e1a2b3d4c59"))
        await node.books.arrived.wait()
        node.drop()
        assert await read_reply(reader) == b"value"  # connected anew, repeated under its key
        assert [bool(got.flags & 0x10) for got in node.got] == [False, True]
        assert node.books.dropped == 1
        writer.close()

    with_gateway(test, "diameter", [None])


def test_a_mixed_run_counts_and_drops_what_a_resp2_run_does() -> None:
    """The same queries through two gateways: by RESP2 alone, then half by Diameter and to both kinds.

    Each third debit is repeated through the other gateway, as a client does that lost its first answer.
    """
    queries = [(n, n % 3, 1 + n % 6, 0 if n % 2 else 2) for n in range(36)]  # number, customer, units, action

    async def run(mixed: bool) -> tuple[dict[int, int], int, float, list[bool]]:
        books = Books()
        other: Backend | DiameterServer = DiameterServer(books) if mixed else Backend(books)
        async with Backend(books) as node, other, Counter() as counter:
            listed = [entry("a", node.port), entry("b", other.port, kind="diameter" if mixed else "std")]
            async with Discovery(*listed) as list_:
                known = roster(*listed)
                async with (
                    gateway(config(list_.port, counter.port, known, mixed)) as one,
                    gateway(config(list_.port, counter.port, known, mixed, me=1)) as two,
                ):
                    apps = [one, two]
                    served = []
                    for n, customer, units, action in queries:
                        for turn in range(2 if action == 0 and n % 3 == 0 else 1):
                            app = apps[(n // 2 + turn) % 2]
                            if mixed and n % 4 < 2:
                                reader, writer = await connect(app.lifecycle.diameter_address)
                                writer.write(
                                    cer()
                                    + ccr(
                                        n,
                                        action=action,
                                        units=units,
                                        customer=customer,
                                        service=2,
                                        flags=0xD0 if turn else 0xC0,
                                        extra=event_time(NOW_MS),
                                    )
                                )
                                await read_message(reader)
                                served.append((await read_message(reader)).result == 2001)
                                writer.close()
                            else:
                                [answer] = await ask(
                                    app,
                                    query(
                                        f"{n}-{turn}",
                                        "balance-check" if action else "load-send",
                                        units,
                                        customer,
                                        "small",
                                        key="" if action else f"{n:016x}",
                                    ),
                                )
                                served.append(answer == b"value")
                    return dict(books.units), books.dropped, counter.units, served

    async def test() -> None:
        plain, mixed = await run(False), await run(True)
        assert plain == mixed
        units, dropped, counted, served = plain
        assert dropped > 0 and not all(served) and any(served)
        assert all(0 < used <= 12 for used in units.values()) and counted >= sum(units.values())

    play(test)


def test_of_a_batch_that_sticks_half_way_all_but_the_last_may_have_run() -> None:
    """A break counted as proof that none of them ran: those written whole were sent again elsewhere."""

    class Stuck:
        error = None

        def set_close_callback(self, _: object) -> None: ...
        def write(self, _: bytes) -> None: ...
        def writing(self) -> bool:
            return True

        def closed(self) -> bool:
            return False

    loop = ActorScheduler(FakeLoop())
    me = PeerIdentity("gw0.yoke.example", "yoke.example", "127.0.0.1", 1)
    owner = DiameterUpstream(
        ("127.0.0.1", 1),
        loop,
        lambda: 0.0,
        me=me,
        services={},
        connect_ms=100.0,
        idle_ms=100.0,
        watchdog_s=30.0,
    )
    connection = upstream_connection._Connection(cast(IOStream, Stuck()), owner, loop, 30.0)
    connection.state = PeerState.OPEN
    ends: dict[str, Verdict] = {}
    for name in ("first", "second", "last"):
        asked = Request(name, "load-send", "small", 5, 1000.0, 1.0, 1, idempotency_key=name)
        connection.post(
            connection.write,
            Attempt(asked, 0, 1, 0.0, 1000.0, lambda one, end: ends.update({one.request.id: end.verdict})),
        )
    loop.run()
    connection.gone()
    assert ends == {"first": Verdict.RESET, "second": Verdict.RESET, "last": Verdict.CONNECT_FAILED}


def test_more_requests_than_a_connection_may_have_are_told_when_to_come_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_connection, "MOST_OUT", 1)

    async def test(app: GatewayApplication, node: DiameterServer) -> None:
        peer = await open_peer(app)
        peer[1].write(ccr(1) + ccr(2))
        got = await read_message(peer[0])
        assert (got.end, got.result, got.avps[281]) == (2, 3004, b"retry after 1000 ms")
        await node.books.arrived.wait()
        peer[1].close()

    with_gateway(test, "diameter", [None])
