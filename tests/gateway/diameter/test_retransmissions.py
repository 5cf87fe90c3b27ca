"""Retransmitted debits (T flag) of which this gateway may not have seen the original."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from badgeryoke.decisions.interface import DeduplicationScope
from badgeryoke.gateway.application import GatewayApplication
from badgeryoke.gateway.diameter import client_connection
from tests.support.diameter_clients import Streams, open_peer, send, with_gateway
from tests.support.running import run_test
from tests.support.stand_ins import (
    KEYED,
    NOW_MS,
    SAFE,
    Backend,
    RequestLedger,
    ccr,
    config,
    endpoint_snapshot,
    entry,
    event_time,
    gateway,
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
