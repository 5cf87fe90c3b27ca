"""Tests of Diameter clients and servers on real sockets, against stand-ins that have their own codec."""

from __future__ import annotations

import asyncio
import struct
import time
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
from badgeryoke.gateway.diameter.end_to_end_ids import EndToEndIds
from badgeryoke.gateway.diameter.peer import Peer, PeerState
from badgeryoke.gateway.diameter.peer import PeerIdentity as PeerIdentity
from badgeryoke.gateway.diameter.upstream_connection import DiameterUpstream
from badgeryoke.gateway.wall_clock import WallClock
from tests.support.diameter_clients import open_peer, send, with_gateway
from tests.support.dispatcher_bench import FakeLoop
from tests.support.running import run_test, send_commands, until
from tests.support.stand_ins import (
    KEYED,
    NOW_MS,
    SAFE,
    Backend,
    Counter,
    DiameterServer,
    Discovery,
    RequestLedger,
    avp,
    avps,
    ccr,
    cer,
    config,
    connect,
    endpoint_snapshot,
    entry,
    event_time,
    gateway,
    message,
    one_gateway,
    query,
    read_message,
    read_reply,
)


def test_an_event_request_is_served_with_the_standard_avps() -> None:
    async def test(app: GatewayApplication, backend: Backend) -> None:
        peer = await open_peer(app)
        proxy = avp(284, avp(280, "p") + avp(33, "state"))
        debit, check = sorted(
            await send(peer, ccr(7, hop=70, extra=proxy), ccr(8, hop=80, action=2)),
            key=lambda answer: answer.hop,
        )
        assert (debit.result, debit.hop, debit.end, debit.flags) == (2001, 70, 7, 0x40)
        assert debit.avps[263] == b"pos.example;1;7" and debit.avps[284] == avps(proxy)[284]
        assert struct.unpack(">Q", avps(debit.avps[431])[417]) == (2,)
        assert avps(debit.avps[440])[442] == b"value"
        assert (check.result, check.avps[422]) == (2001, b"\0\0\0\0")
        assert sorted((command[0], command[3].split(b",")[0]) for command in backend.commands) == [
            (b"SVC.QUERY", b"c=balance-check"),
            (b"SVC.SUBMIT", b"c=load-send"),
        ]
        peer[1].close()

    with_gateway(test)


@pytest.mark.parametrize(
    ("check", "debit", "sent"),
    [(None, None, ["read", "write"]), ("list", "pay", ["list", "pay"]), ("gone", "gone", [])],
    ids=["first class of each kind", "classes by name", "unknown classes"],
)
def test_an_event_takes_the_request_class_of_the_configuration(
    check: str | None, debit: str | None, sent: list[str]
) -> None:
    async def test() -> None:
        async with Backend() as backend, Discovery(entry("a", backend.port)) as discovery:
            classes = tuple(
                replace(cls, name=name)
                for cls, name in ((SAFE, "read"), (SAFE, "list"), (KEYED, "write"), (KEYED, "pay"))
            )
            gateway_config = config(
                discovery.port, None, endpoint_snapshot(entry("a", backend.port)), True, classes=classes
            )
            assert gateway_config.diameter is not None
            app = GatewayApplication(
                replace(
                    gateway_config,
                    diameter=replace(gateway_config.diameter, check_class=check, debit_class=debit),
                ),
                lambda: NOW_MS,
            )
            app.start()
            await until(lambda: app.parts.discovery.ready)
            peer = await open_peer(app)
            answers = await send(peer, ccr(7), ccr(8, action=2))
            assert [answer.result for answer in answers] == ([2001, 2001] if sent else [5031, 5031])
            assert sorted(command[3].decode().split(",")[0][2:] for command in backend.commands) == sent
            peer[1].close()
            app.end()
            await app.done.wait()

    run_test(test)


INVALID_REQUESTS = [
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


@pytest.mark.parametrize(("sent", "result"), INVALID_REQUESTS)
def test_an_invalid_request_gets_its_result_code_and_is_not_forwarded(sent: bytes, result: int) -> None:
    async def test(app: GatewayApplication, backend: Backend) -> None:
        peer = await open_peer(app)
        [got] = await send(peer, sent)
        assert (got.result, bool(got.flags & 0x20)) == (result, 3000 <= result < 4000)
        assert (279 in got.avps) == (result in (5001, 5004, 5005, 5009, 5014, 5030, 5031))
        assert not backend.commands
        [good] = await send(peer, ccr(10))  # the connection is still usable
        assert good.result == 2001
        peer[1].close()

    with_gateway(test)


def test_a_retransmission_within_the_deduplication_window_is_forwarded_as_a_retry() -> None:
    async def test(app: GatewayApplication, backend: Backend) -> None:
        peer = await open_peer(app)
        [got] = await send(peer, ccr(9, flags=0xD0, extra=event_time(NOW_MS)))
        assert got.result == 2001 and b"r=1" in backend.commands[0][3]
        peer[1].close()

    with_gateway(test)


FRAMING_ERRORS = [
    pytest.param(b"\x02" + ccr(9)[1:], 5011, id="version 2"),
    pytest.param(struct.pack(">IIIII", 1 << 24 | 0xFFFFF0, 0xC0 << 24 | 272, 4, 9, 9), 5015, id="oversized"),
    pytest.param(struct.pack(">IIIII", 1 << 24 | 12, 0xC0 << 24 | 272, 4, 9, 9), 5015, id="too short"),
    pytest.param(ccr(9)[:30], None, id="cut"),
]


@pytest.mark.parametrize(("sent", "result"), FRAMING_ERRORS)
def test_a_framing_error_closes_only_its_own_connection(sent: bytes, result: int | None) -> None:
    async def test(app: GatewayApplication, backend: Backend) -> None:
        other, peer = await open_peer(app), await open_peer(app)
        peer[1].write(sent)
        if result is None:
            peer[1].write_eof()
        else:
            assert (await read_message(peer[0])).result == result
        assert await peer[0].read() == b""
        [good] = await send(other, ccr(10))
        assert good.result == 2001
        other[1].close()

    with_gateway(test)


FAILED_EXCHANGES = [
    pytest.param(ccr(1), None, id="a request before the CER"),
    pytest.param(message(0, 257, 0, 1, 1, avp(264, "h") + avp(258, 4)), None, id="an unsolicited CEA"),
    pytest.param(cer(app=1), 5010, id="no common application"),
    pytest.param(cer(host="gw0.yoke.example"), 3010, id="the gateway's own Origin-Host"),
    pytest.param(message(0x80, 257, 0, 1, 1, avp(296, "example")), 5005, id="no Origin-Host"),
]


@pytest.mark.parametrize(("sent", "result"), FAILED_EXCHANGES)
def test_a_failed_capabilities_exchange_is_answered_and_the_connection_closed(
    sent: bytes, result: int | None
) -> None:
    async def test(app: GatewayApplication, backend: Backend) -> None:
        reader, writer = await connect(app.lifecycle.diameter_address)
        writer.write(sent)
        if result is not None:
            assert (await read_message(reader)).result == result
        assert await reader.read() == b""

    with_gateway(test)


def test_watchdog_and_disconnect_requests_are_answered() -> None:
    async def test(app: GatewayApplication, backend: Backend) -> None:
        peer = await open_peer(app)
        [dwa] = await send(peer, message(0x80, 280, 0, 5, 5, avp(264, "pos.example") + avp(296, "example")))
        assert (dwa.command, dwa.result, dwa.hop) == (280, 2001, 5)
        [dpa] = await send(peer, message(0x80, 282, 0, 6, 6, avp(264, "pos.example") + avp(273, 0)))
        assert (dpa.command, dpa.result) == (282, 2001)
        assert await peer[0].read() == b""

    with_gateway(test)


def test_on_shutdown_a_client_gets_its_answer_before_the_disconnect_peer_request() -> None:
    async def test(app: GatewayApplication, backend: Backend) -> None:
        peer = await open_peer(app)
        peer[1].write(ccr(9))
        await backend.ledger.arrived.wait()
        app.end()
        backend.writers[0].write(b"*1\r\n$4\r\nlast\r\n")
        assert (await read_message(peer[0])).result == 2001
        dpr = await read_message(peer[0])
        assert (dpr.command, dpr.avps[273]) == (282, b"\0\0\0\0")  # REBOOTING
        peer[1].write(message(0, 282, 0, dpr.hop, dpr.end, avp(268, 2001)))
        assert await peer[0].read() == b""

    with_gateway(test, script=[None])


def test_a_retransmission_over_a_new_connection_joins_the_request_in_flight() -> None:
    """The first connection closes after the debit was forwarded; the retransmission gets the same answer."""

    async def test(app: GatewayApplication, backend: Backend) -> None:
        first = await open_peer(app)
        first[1].write(ccr(9))
        await backend.ledger.arrived.wait()
        first[1].transport.abort()
        again = await open_peer(app)
        again[1].write(ccr(9, flags=0xD0, hop=91))
        [dwa] = await send(again, message(0x80, 280, 0, 5, 5, b""))  # the gateway has read the retransmission
        assert dwa.command == 280
        backend.writers[0].write(b"*1\r\n$4\r\nlast\r\n")
        got = await read_message(again[0])
        assert (got.result, got.hop, avps(got.avps[440])[442]) == (2001, 91, b"last")
        [stored] = await send(again, ccr(9, flags=0xD0, hop=92))  # a retransmission after the answer
        assert (stored.result, stored.hop) == (2001, 92)
        assert len(backend.commands) == 1 and backend.ledger.units[5] == 2
        again[1].close()

    with_gateway(test, script=[None])


def test_conflicting_identifiers_are_not_forwarded() -> None:
    async def test(app: GatewayApplication, backend: Backend) -> None:
        peer = await open_peer(app)
        results = [
            (await send(peer, sent))[0].result
            for sent in (
                ccr(9, "pos.example;1;s"),
                ccr(10, "pos.example;1;s"),
                ccr(9, "pos.example;1;t"),
                ccr(10, "pos.example;1;s", number=1),
            )
        ]
        assert results == [2001, 5012, 5012, 2001] and len(backend.commands) == 2
        peer[1].close()

    with_gateway(test)


def test_a_rejection_carries_retry_after_and_is_not_cached() -> None:
    async def test(app: GatewayApplication, backend: Backend) -> None:
        peer = await open_peer(app)
        answers = [(await send(peer, ccr(n, service=2, units=6)))[0] for n in range(4)]
        assert [answer.result for answer in answers] == [2001, 3004, 3004, 3004]
        assert answers[1].flags & 0x20 and answers[1].avps[281].startswith(b"retry after ")
        assert len(backend.commands) == 1
        [other] = await send(peer, ccr(1, units=6, customer=6))  # a rejected request is not cached
        assert other.result == 2001
        peer[1].close()

    with_gateway(test)


def test_a_client_that_is_not_configured_is_an_unknown_peer() -> None:
    async def test() -> None:
        gateway_config = config(1, None, diameter=True)
        assert gateway_config.diameter is not None
        restricted: Config = replace(
            gateway_config, diameter=replace(gateway_config.diameter, clients=frozenset({"known.example"}))
        )
        async with gateway(restricted) as app:
            reader, writer = await connect(app.lifecycle.diameter_address)
            writer.write(cer())
            assert (await read_message(reader)).result == 3010
            assert await reader.read() == b""

    run_test(test)


SERVER_ANSWERS = [
    pytest.param("load-send", [3004], b"value", 2, id="TOO_BUSY did not run and is retried"),
    pytest.param(
        "load-send", [5012], b"value", 2, id="another failure may have run and is retried with its key"
    ),
    pytest.param("balance-check", [4012], b"value", 2, id="an idempotent request is retried"),
    pytest.param("load-send", [3004, 3004, 3004], "-BUSY", 3, id="TOO_BUSY for every attempt is a rejection"),
]


@pytest.mark.parametrize(("cls", "script", "answer", "sent"), SERVER_ANSWERS)
def test_the_result_code_of_a_server_decides_the_outcome(
    cls: str, script: list[int | None], answer: Any, sent: int
) -> None:
    async def test(app: GatewayApplication, server: DiameterServer) -> None:
        key = "5c0f6e1a2b3d4c59" if cls == "load-send" else ""
        [reply] = await send_commands(app, query("r", cls, key=key, body="body"))
        assert reply == answer or str(reply).startswith(str(answer))
        assert len(server.received) == sent
        first = server.received[0]
        assert first.avps[416] == b"\0\0\0\4" and avps(first.avps[440])[442] == b"body"
        assert first.avps[436] == struct.pack(">I", 0 if key else 2)
        # A retry has the T flag only if the first attempt may have run; the Session-Id stays the same.
        assert bool(server.received[-1].flags & 0x10) == (script[0] != 3004)
        assert {request.avps[263] for request in server.received} == {first.avps[263]}

    with_gateway(test, "diameter", script)


@pytest.mark.parametrize(
    ("action", "result"), [(0, 5012), (2, 3004)], ids=["direct debiting", "balance check"]
)
def test_a_request_to_a_silent_server_is_answered_by_its_deadline(action: int, result: int) -> None:
    """A debit that may have run fails, and so does its retransmission; a balance check is rejected."""
    classes = tuple(replace(cls, latency_objective_ms=1000.0, deadline_ms=1000.0) for cls in (SAFE, KEYED))

    async def test() -> None:
        async with DiameterServer(script=[None] * 9) as server:
            endpoints = endpoint_snapshot(entry("a", server.port, kind="diameter"))
            gateway_config = config(1, None, endpoints, diameter=True, classes=classes)
            async with gateway(gateway_config, WallClock(time.monotonic, time.time)) as app:
                peer = await open_peer(app)
                [answer] = await send(peer, ccr(9, action=action))
                assert answer.result == result and 1 <= len(server.received) <= 3
                assert len({request.avps[263] for request in server.received}) == 1
                if action == 0:
                    attempt_count = len(server.received)
                    [again] = await send(peer, ccr(9, action=action, flags=0xD0, hop=99))
                    assert again.result == result and len(server.received) == attempt_count
                peer[1].close()

    run_test(test)


def test_a_silent_peer_gets_a_watchdog_request_and_is_then_closed() -> None:
    """RFC 3539: a DWR is sent after one silent interval, and the connection is closed after another."""

    class Stream:
        sent, is_closed = b"", False

        def set_close_callback(self, _: object) -> None:
            pass

        def closed(self) -> bool:
            return self.is_closed

        def writing(self) -> bool:
            return False

        def write(self, data: bytes) -> None:
            self.sent += data

        def close(self) -> None:
            self.is_closed = True

    loop, stream = FakeLoop(), Stream()
    identity = PeerIdentity("gw0.yoke.example", "yoke.example", "127.0.0.1", 1)
    peer = Peer(stream, identity, ActorScheduler(loop), 30.0)  # type: ignore[arg-type]
    peer.deliver(peer._receive, cer())
    loop.run(35.0)
    assert stream.sent.count(struct.pack(">I", 0x80 << 24 | 280)) == 1 and not stream.is_closed
    peer.deliver(peer._receive, message(0, 280, 0, 1, 1, avp(268, 2001)))
    loop.run(20.0)
    assert not stream.is_closed
    loop.run(100.0)
    assert stream.is_closed


def test_a_draining_server_is_disconnected_once_it_has_answered() -> None:
    async def test() -> None:
        async with one_gateway(kind="diameter", diameter=True) as (app, server, discovery):
            assert await send_commands(app, query()) == [b"value"]
            while len(discovery.calls) < 2:
                await asyncio.sleep(0)
            discovery.change(entry("a", server.port, "leaving", "diameter"))
            await server.disconnect_requested.wait()
            assert str((await send_commands(app, query()))[0]).startswith("-BUSY")

    run_test(test)


def test_a_written_request_may_have_run_when_the_connection_is_lost() -> None:
    async def test(app: GatewayApplication, server: DiameterServer) -> None:
        reader, writer = await connect(app.lifecycle.address)
        writer.write(query("r", "load-send", key="5c0f6e1a2b3d4c59"))
        await server.ledger.arrived.wait()
        server.drop()
        # Retried over a new connection, with the same idempotency key.
        assert await read_reply(reader) == b"value"
        assert [bool(got.flags & 0x10) for got in server.received] == [False, True]
        assert server.ledger.duplicate_count == 1
        writer.close()

    with_gateway(test, "diameter", [None])


def test_a_mixed_run_counts_and_deduplicates_as_a_resp2_run_does() -> None:
    """Sends the same queries through two gateways, first over RESP2 only, then half of them over Diameter.

    The second run has a RESP2 and a Diameter server. Every third debit is repeated at the other gateway, as by a
    client that lost the first answer.
    """
    queries = [(n, n % 3, 1 + n % 6, 0 if n % 2 else 2) for n in range(36)]  # number, customer, units, action

    async def run(mixed: bool) -> tuple[dict[int, int], int, float, list[bool]]:
        ledger = RequestLedger()
        other_server: Backend | DiameterServer = DiameterServer(ledger) if mixed else Backend(ledger)
        async with Backend(ledger) as backend, other_server, Counter() as counter:
            entries = [
                entry("a", backend.port),
                entry("b", other_server.port, kind="diameter" if mixed else "std"),
            ]
            async with Discovery(*entries) as discovery:
                endpoints = endpoint_snapshot(*entries)
                async with (
                    gateway(config(discovery.port, counter.port, endpoints, mixed)) as first_gateway,
                    gateway(
                        config(discovery.port, counter.port, endpoints, mixed, index=1)
                    ) as second_gateway,
                ):
                    apps = [first_gateway, second_gateway]
                    served = []
                    for n, customer, units, action in queries:
                        for repetition in range(2 if action == 0 and n % 3 == 0 else 1):
                            app = apps[(n // 2 + repetition) % 2]
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
                                        flags=0xD0 if repetition else 0xC0,
                                        extra=event_time(NOW_MS),
                                    )
                                )
                                await read_message(reader)
                                served.append((await read_message(reader)).result == 2001)
                                writer.close()
                            else:
                                [answer] = await send_commands(
                                    app,
                                    query(
                                        f"{n}-{repetition}",
                                        "balance-check" if action else "load-send",
                                        units,
                                        customer,
                                        "small",
                                        key="" if action else f"{n:016x}",
                                    ),
                                )
                                served.append(answer == b"value")
                    return dict(ledger.units), ledger.duplicate_count, counter.units, served

    async def test() -> None:
        resp2_run, mixed_run = await run(False), await run(True)
        assert resp2_run == mixed_run
        units, duplicate_count, counted, served = resp2_run
        assert duplicate_count > 0 and not all(served) and any(served)
        assert all(0 < used <= 12 for used in units.values()) and counted >= sum(units.values())

    run_test(test)


def test_all_but_the_last_of_a_partly_written_batch_may_have_run() -> None:
    """If all attempts counted as not run, completely written requests would be sent again to another server."""

    class BlockedStream:
        error = None

        def set_close_callback(self, _: object) -> None: ...
        def write(self, _: bytes) -> None: ...
        def writing(self) -> bool:
            return True

        def closed(self) -> bool:
            return False

    loop = ActorScheduler(FakeLoop())
    identity = PeerIdentity("gw0.yoke.example", "yoke.example", "127.0.0.1", 1)
    owner = DiameterUpstream(
        ("127.0.0.1", 1),
        loop,
        lambda: 0.0,
        identity=identity,
        services={},
        connect_ms=100.0,
        idle_ms=100.0,
        watchdog_s=30.0,
        end_to_end_ids=EndToEndIds(loop.time, 0),
    )
    connection = upstream_connection.UpstreamPeer(cast(IOStream, BlockedStream()), owner, loop, 30.0)
    connection.state = PeerState.OPEN
    ends: dict[str, Verdict] = {}
    for name in ("first", "second", "last"):
        request = Request(name, "load-send", "small", 5, 1000.0, 1.0, 1, idempotency_key=name)
        connection.post(
            connection.write,
            Attempt(
                request,
                0,
                1,
                0.0,
                1000.0,
                lambda attempt, end: ends.update({attempt.request.id: end.verdict}),
            ),
        )
    loop.run()
    connection.connection_closed()
    assert ends == {"first": Verdict.RESET, "second": Verdict.RESET, "last": Verdict.CONNECT_FAILED}


def test_requests_over_the_in_flight_limit_are_rejected_with_retry_after(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_connection, "MAX_REQUESTS_IN_FLIGHT", 1)

    async def test(app: GatewayApplication, server: DiameterServer) -> None:
        peer = await open_peer(app)
        peer[1].write(ccr(1) + ccr(2))
        got = await read_message(peer[0])
        assert (got.end, got.result, got.avps[281]) == (2, 3004, b"retry after 1000 ms")
        await server.ledger.arrived.wait()
        peer[1].close()

    with_gateway(test, "diameter", [None])
