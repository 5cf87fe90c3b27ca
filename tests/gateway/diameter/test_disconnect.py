"""Ends of Diameter connections by either side, while requests are in flight or cross the end."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest

from badgeryoke.gateway.application import GatewayApplication
from badgeryoke.gateway.diameter import client_connection
from badgeryoke.gateway.diameter import peer as peer_module
from badgeryoke.gateway.graceful_shutdown import ShutdownEvent
from tests.support.diameter_clients import Streams, open_peer, send, with_gateway
from tests.support.running import until
from tests.support.stand_ins import (
    Backend,
    DiameterServer,
    ReceivedMessage,
    avp,
    ccr,
    cer,
    connect,
    credit_control_answer,
    message,
    read_message,
)

SERVED, BUSY, UNABLE_TO_COMPLY, UNSUPPORTED_VERSION = 2001, 3004, 5012, 5011
CREDIT_CONTROL, CAPABILITIES_EXCHANGE, DISCONNECT = 272, 257, 282
DISCONNECT_REQUEST = message(0x80, DISCONNECT, 0, 6, 6, avp(264, "pos.example") + avp(273, 0))
LAST_VALUE = b"*1\r\n$4\r\nlast\r\n"


def disconnect_answer(request: ReceivedMessage) -> bytes:
    """Encode the answer to a Disconnect-Peer-Request."""
    assert request.command == DISCONNECT
    return message(0, DISCONNECT, 0, request.hop, request.end, avp(268, 2001))


def terminate(app: GatewayApplication) -> None:
    app.end()


def pause(app: GatewayApplication) -> None:
    app.pause()


def replace_process(app: GatewayApplication) -> None:
    app.lifecycle.post(ShutdownEvent.SUCCESSOR_READY)


ENDS = [terminate, pause, replace_process]


@pytest.mark.parametrize("end", ENDS)
def test_a_debit_that_crosses_the_disconnect_request_is_answered(
    end: Callable[[GatewayApplication], None],
) -> None:
    """Guards against a debit that is run and never answered, where the client sent it before it had read the DPR."""

    async def test(app: GatewayApplication, backend: Backend) -> None:
        reader, writer = await open_peer(app)
        end(app)
        disconnect_request = await read_message(reader)
        writer.write(ccr(9) + disconnect_answer(disconnect_request))
        await backend.ledger.arrived.wait()
        backend.writers[0].write(LAST_VALUE)
        answer = await read_message(reader)
        assert (answer.command, answer.result, answer.end) == (CREDIT_CONTROL, SERVED, 9)
        assert await reader.read() == b""

    with_gateway(test, script=[None])


def test_a_debit_behind_the_disconnect_answer_is_refused_and_not_lost() -> None:
    """Guards against a close with bytes unread, which loses the request that they hold."""

    async def test(app: GatewayApplication, backend: Backend) -> None:
        reader, writer = await open_peer(app)
        app.end()
        disconnect_request = await read_message(reader)
        writer.write(disconnect_answer(disconnect_request) + ccr(8) + ccr(9, flags=0xD0))
        answers = [await read_message(reader) for _ in range(2)]
        assert [(answer.end, answer.result) for answer in answers] == [(8, BUSY), (9, UNABLE_TO_COMPLY)]
        assert await reader.read() == b"" and not backend.commands

    with_gateway(test)


def test_a_disconnect_request_of_a_client_is_answered_behind_its_debit() -> None:
    """Guards against a close by the gateway while a debit of the disconnecting client is at a server."""

    async def test(app: GatewayApplication, backend: Backend) -> None:
        reader, writer = await open_peer(app)
        writer.write(ccr(9) + DISCONNECT_REQUEST)
        await backend.ledger.arrived.wait()
        backend.writers[0].write(LAST_VALUE)
        answers = [await read_message(reader) for _ in range(2)]
        assert [(answer.command, answer.result) for answer in answers] == [
            (CREDIT_CONTROL, SERVED),
            (DISCONNECT, SERVED),
        ]
        assert await reader.read() == b""

    with_gateway(test, script=[None])


def test_a_client_that_goes_on_after_its_disconnect_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a connection that stays open as long as its client sends."""
    monkeypatch.setattr(peer_module, "EXCHANGE_TIMEOUT_S", 0.2)
    monkeypatch.setattr(peer_module, "has_unread_data", lambda _: True)  # whenever the gateway looks

    async def test(app: GatewayApplication, _: Backend) -> None:
        reader, writer = await open_peer(app)
        [answer] = await send((reader, writer), DISCONNECT_REQUEST)
        assert answer.command == DISCONNECT
        assert await reader.read() == b""

    with_gateway(test)


def test_an_invalid_message_does_not_lose_the_debit_before_it() -> None:
    """Guards against a close at once after a framing error, while an earlier debit is at a server."""

    async def test(app: GatewayApplication, backend: Backend) -> None:
        reader, writer = await open_peer(app)
        writer.write(ccr(8) + b"\x02" + ccr(9)[1:])
        fault = await read_message(reader)
        await backend.ledger.arrived.wait()
        backend.writers[0].write(LAST_VALUE)
        answer = await read_message(reader)
        assert [fault.result, answer.result, answer.end] == [UNSUPPORTED_VERSION, SERVED, 8]
        assert await reader.read() == b"" and len(backend.commands) == 1

    with_gateway(test, script=[None])


def test_a_client_that_never_stops_sending_is_refused_and_does_not_delay_the_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a restart that takes too long because a client ignores the disconnect request."""
    monkeypatch.setattr(client_connection, "DRAIN_GRACE_S", 0.0)

    async def test(app: GatewayApplication, backend: Backend) -> None:
        reader, writer = await open_peer(app)
        writer.write(ccr(1))
        await backend.ledger.arrived.wait()
        app.end()
        await until(lambda: next(iter(app.parts.diameter_listener.connections))._refusing)  # type: ignore[union-attr]
        refused = [(await send((reader, writer), ccr(end)))[0] for end in range(2, 9)]
        assert {answer.result for answer in refused} == {BUSY}
        backend.writers[0].write(LAST_VALUE)
        answers = [await read_message(reader) for _ in range(2)]
        assert (answers[0].command, answers[0].end) == (CREDIT_CONTROL, 1)
        writer.write(disconnect_answer(answers[1]))
        assert await reader.read() == b"" and len(backend.commands) == 1
        await app.done.wait()

    with_gateway(test, script=[None])


def test_a_client_that_connects_while_the_gateway_is_paused_is_told_to_disconnect() -> None:
    """Guards against a close without a word, with a debit that was sent behind the CER."""

    async def test(app: GatewayApplication, backend: Backend) -> None:
        app.pause()
        await until(lambda: app.drained)
        reader, writer = await connect(app.lifecycle.diameter_address)
        writer.write(cer() + ccr(9))
        answers = [await read_message(reader) for _ in range(3)]
        assert [answer.command for answer in answers] == [CAPABILITIES_EXCHANGE, DISCONNECT, CREDIT_CONTROL]
        assert answers[2].result == SERVED
        writer.write(disconnect_answer(answers[1]))
        assert await reader.read() == b""
        app.resume()
        again = await open_peer(app)
        [served] = await send(again, ccr(10))
        assert served.result == SERVED
        again[1].close()

    with_gateway(test)


def test_a_silent_connection_does_not_delay_the_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a restart that waits for a client which never exchanges capabilities."""
    monkeypatch.setattr(client_connection, "EXCHANGE_GRACE_S", 0.0)

    async def test(app: GatewayApplication, _: Backend) -> None:
        reader, writer = await connect(app.lifecycle.diameter_address)
        await until(lambda: app.parts.diameter_listener.connections)  # type: ignore[union-attr]
        app.end()
        assert await reader.read() == b""
        await app.done.wait()
        writer.close()

    with_gateway(test)


def test_connections_in_the_accept_queue_are_served_when_the_listener_stops() -> None:
    """Guards against a reset of connections that the kernel has accepted and the gateway has not."""

    async def test(app: GatewayApplication, _: Backend) -> None:
        assert app.parts.diameter_listener is not None
        client = socket.create_connection(app.lifecycle.diameter_address)  # in one turn with `stop`
        app.parts.diameter_listener.stop()
        assert len(app.parts.diameter_listener.connections) == 1
        peer: Streams = await asyncio.open_connection(sock=client)
        [cea, served] = await send(peer, cer(), ccr(9))
        assert (cea.command, served.result) == (CAPABILITIES_EXCHANGE, SERVED)
        peer[1].close()

    with_gateway(test)


def test_a_server_that_disconnects_still_answers_what_it_was_sent() -> None:
    """Guards against a request cut off at its server, which then runs again or fails, where the server ends in order."""

    async def test(app: GatewayApplication, server: DiameterServer) -> None:
        reader, writer = await open_peer(app)
        writer.write(ccr(8))
        await until(lambda: len(server.received) == 1)
        server.writers[0].write(DISCONNECT_REQUEST)
        [other] = await send((reader, writer), ccr(9))
        assert (other.end, other.result, server.connections) == (9, SERVED, 2)
        server.writers[0].write(credit_control_answer(server.received[0]))
        answer = await read_message(reader)
        assert (answer.end, answer.result, len(server.received)) == (8, SERVED, 2)
        writer.close()

    with_gateway(test, "diameter", [None])
