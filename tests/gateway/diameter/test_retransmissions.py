"""Retransmitted debits (T flag) of which this gateway may not have seen the original."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from badgeryoke.decisions.interface import DeduplicationScope
from badgeryoke.gateway.application import GatewayApplication
from badgeryoke.gateway.diameter import client_connection
from tests.support.diameter_clients import Streams, open_peer, send, with_gateway
from tests.support.running import run_test, until
from tests.support.stand_ins import (
    KEYED,
    NOW_MS,
    SAFE,
    Backend,
    Counter,
    RequestLedger,
    ccr,
    config,
    endpoint_snapshot,
    entry,
    event_time,
    gateway,
    read_message,
)

SERVED, BUSY, UNABLE_TO_COMPLY = 2001, 3004, 5012
DEBIT_TIME = event_time(NOW_MS)


@pytest.mark.parametrize(
    ("scope", "single_zone", "result"),
    [
        pytest.param(DeduplicationScope.ALL, False, SERVED, id="all"),
        pytest.param(DeduplicationScope.ZONE, False, UNABLE_TO_COMPLY, id="zone"),
        pytest.param(DeduplicationScope.ZONE, True, SERVED, id="the only zone"),
        pytest.param(DeduplicationScope.CELL, True, UNABLE_TO_COMPLY, id="cell"),
    ],
)
def test_a_debit_repeated_at_another_gateway_is_charged_once(
    scope: DeduplicationScope, single_zone: bool, result: int
) -> None:
    """Guards against a second charge: only servers of the original's zone or cell would drop the repeat."""
    classes = (SAFE, replace(KEYED, deduplication_scope=scope))
    ledger = RequestLedger()

    async def repeat_elsewhere(first: GatewayApplication, second: GatewayApplication, ran: Backend) -> None:
        peer = await open_peer(first)
        peer[1].write(ccr(9, extra=DEBIT_TIME))
        await ledger.arrived.wait()
        peer[1].transport.abort()
        again = await open_peer(second)
        [answer] = await send(again, ccr(9, flags=0xD0, extra=DEBIT_TIME))
        assert answer.result == result
        again[1].close()
        ran.writers[0].write(b"*1\r\n$4\r\nlast\r\n")

    async def test() -> None:
        async with Backend(ledger, script=[None]) as first_server, Backend(ledger) as second_server:
            lists = [
                endpoint_snapshot({**entry(name, server.port), "cell": cell})
                for name, server, cell in (("a", first_server, 1), ("b", second_server, 2))
            ]
            first_config, second_config = (
                config(1, None, known, True, index, classes=classes, has_single_zone=single_zone)
                for index, known in enumerate(lists)
            )
            async with gateway(first_config) as first, gateway(second_config) as second:
                await repeat_elsewhere(first, second, first_server)
            assert len(first_server.commands) == 1
            assert len(second_server.commands) == (1 if result == SERVED else 0)
            assert ledger.duplicate_count == len(second_server.commands)

    run_test(test)


def fill_register(app: GatewayApplication, _: pytest.MonkeyPatch) -> None:
    """Let the register of requests be at its limit."""
    assert app.parts.diameter_listener is not None
    app.parts.diameter_listener.register._duplicates._max_requests = 0


def fill_connection(_: GatewayApplication, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let each connection be at its limit of requests in flight."""
    monkeypatch.setattr(client_connection, "MAX_REQUESTS_IN_FLIGHT", 0)


@pytest.mark.parametrize("fill", [fill_register, fill_connection])
def test_a_repeated_debit_is_never_called_unrun_for_lack_of_room(
    fill: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against TOO_BUSY, after which a client sends the debit anew although its first try may have run."""

    async def test(app: GatewayApplication, backend: Backend) -> None:
        peer: Streams = await open_peer(app)
        [served] = await send(peer, ccr(1, extra=DEBIT_TIME))
        fill(app, monkeypatch)
        sent = {
            "new debit": ccr(2, extra=DEBIT_TIME),
            "repeated debit": ccr(3, flags=0xD0, extra=DEBIT_TIME),
            "repeated check": ccr(4, action=2, flags=0xD0),
            "answered debit": ccr(1, flags=0xD0, extra=DEBIT_TIME),
        }
        results = {name: (await send(peer, message))[0].result for name, message in sent.items()}
        assert served.result == SERVED and len(backend.commands) == 1
        assert results == {
            "new debit": BUSY,
            "repeated debit": UNABLE_TO_COMPLY,
            "repeated check": BUSY,
            "answered debit": SERVED,
        }
        peer[1].close()

    with_gateway(test)


async def leave(app: GatewayApplication, peer: Streams) -> None:
    """Reset a client's connection, and wait until its requests are abandoned."""
    peer[1].transport.abort()
    await until(lambda: all(pending.request.abandoned for pending in app.parts.dispatcher._pending.values()))


def test_no_attempt_begins_for_a_client_that_has_left() -> None:
    """Guards against a second charge where the client sends the debit again elsewhere, behind the key's window."""

    async def test(app: GatewayApplication, backend: Backend) -> None:
        peer = await open_peer(app)
        peer[1].write(ccr(9, extra=DEBIT_TIME))
        await backend.ledger.arrived.wait()
        await leave(app, peer)
        backend.drop()
        await until(lambda: not app.parts.dispatcher._pending)
        again = await open_peer(app)
        [answer] = await send(again, ccr(9, flags=0xD0, extra=DEBIT_TIME))
        assert answer.result == UNABLE_TO_COMPLY and len(backend.commands) == 1
        again[1].close()

    with_gateway(test, script=[None])


def test_an_undecided_debit_is_not_sent_for_a_client_that_has_left() -> None:
    """Guards against a debit that begins after its client left because the counter answers late."""

    async def test() -> None:
        async with Backend() as backend, Counter() as counter:
            counter.may_answer.clear()
            known = endpoint_snapshot(entry("a", backend.port))
            async with gateway(config(1, counter.port, known, True)) as app:
                peer = await open_peer(app)
                peer[1].write(ccr(9, service=2, units=6))
                await until(lambda: app.parts.dispatcher._pending)
                await leave(app, peer)
                counter.may_answer.set()
                await until(lambda: not app.parts.dispatcher._pending)
            assert not backend.commands

    run_test(test)


def test_a_client_that_returns_gets_a_further_attempt() -> None:
    """Guards against a debit given up although its client has come back, and the servers drop a repeat."""

    async def test(app: GatewayApplication, backend: Backend) -> None:
        peer = await open_peer(app)
        peer[1].write(ccr(9, extra=DEBIT_TIME))
        await backend.ledger.arrived.wait()
        await leave(app, peer)
        again = await open_peer(app)
        again[1].write(ccr(9, flags=0xD0, extra=DEBIT_TIME))
        await until(lambda: not any(p.client_left for p in app.parts.dispatcher._pending.values()))
        backend.drop()
        answer = await read_message(again[0])
        assert (answer.result, len(backend.commands)) == (SERVED, 2)
        again[1].close()

    with_gateway(test, script=[None])
