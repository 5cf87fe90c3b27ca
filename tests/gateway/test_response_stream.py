"""Streamed responses: forwarded in pieces, in order, with backpressure, and aborted so that the client can detect it."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from badgeryoke.gateway.resp import upstream_connection as upstream_connection_module
from badgeryoke.gateway.resp.codec import MAX_BULK_BYTES, MAX_STREAMED_BYTES, RespParser, StreamedValue
from badgeryoke.gateway.response_stream import (
    MAX_WINDOW_BYTES,
    MIN_WINDOW_BYTES,
    BufferBudget,
    ResponseStream,
)
from tests.support.running import run_test, send_commands, until
from tests.support.stand_ins import NOW_MS, connect, one_gateway, query

TAIL = b"\r\n$13\r\nused=1,cost=2\r\n$23\r\ninflight=1,latency_ms=9\r\n"


def value(size: int) -> bytes:
    return bytes(n * 7 % 251 for n in range(1024)) * (size // 1024) + b"x" * (size % 1024)


# The parser and the stream ----------------------------------------------------------------------------


@pytest.mark.parametrize("step", [1000, 4097, 65536, 10**9])
@pytest.mark.parametrize("size", [MAX_BULK_BYTES + 1, 300_000])
def test_a_long_value_is_parsed_in_pieces_however_it_is_split(size: int, step: int) -> None:
    parser, sent, received = RespParser(max_items=8, max_streamed_bytes=MAX_STREAMED_BYTES), value(size), []
    data = b"*3\r\n$%d\r\n" % size + sent + TAIL
    values: list[Any] = []
    for offset in range(0, len(data), step):
        values += parser.feed(data[offset : offset + step])
        received += parser.stream_pieces
        parser.stream_pieces = []
        assert parser.buffered_bytes <= step + 128  # no more than the last piece is kept
    assert b"".join(received) == sent and parser.stream_length == size and parser.stream_complete
    assert (
        values == [[b"", b"used=1,cost=2", b"inflight=1,latency_ms=9"]]
        and type(values[0][0]) is StreamedValue
    )
    parser.reset_stream()
    assert parser.is_idle and parser.feed(b"*1\r\n$1\r\nv\r\n") == [[b"v"]]


@pytest.mark.parametrize(
    ("data", "fault"),
    [
        (b"*3\r\n$%d\r\n" % (MAX_STREAMED_BYTES + 1), "length out of bounds"),
        (b"*3\r\n$1\r\nv\r\n$70000\r\n", "length out of bounds"),  # not the array's first element
        (b"$70000\r\n", "length out of bounds"),  # not in an array
        (b"*1\r\n$70000\r\n" + b"x" * 70000 + b"yy", "bulk string without its line end"),
    ],
)
def test_a_malformed_long_value_is_a_protocol_fault(data: bytes, fault: str) -> None:
    parser = RespParser(max_items=8, max_streamed_bytes=MAX_STREAMED_BYTES)
    parser.feed(data)
    assert parser.fault == fault


def test_the_budget_is_shared_out_and_never_below_the_minimum_window() -> None:
    budget = BufferBudget(4 * MAX_WINDOW_BYTES)
    streams = [ResponseStream(1, budget) for _ in range(4)]
    assert budget.window_bytes == MAX_WINDOW_BYTES
    streams += [ResponseStream(1, budget) for _ in range(4)]
    assert budget.window_bytes == MAX_WINDOW_BYTES // 2
    streams += [ResponseStream(1, budget) for _ in range(1000)]
    assert budget.window_bytes == MIN_WINDOW_BYTES
    for stream in streams:
        stream.abort()
        stream.cancel()  # is counted once
    assert budget.open_streams == 0


def test_a_response_stream_frees_capacity_as_it_is_read() -> None:
    stream, buffered = ResponseStream(10, BufferBudget(8 * 1024)), []
    stream.on_capacity = lambda: buffered.append(stream.buffered_bytes)
    stream.append(b"a" * 5000)
    stream.append(b"b" * 5000)
    assert stream.full and stream.read(1000) == b"a" * 1000 and buffered == []
    assert stream.read(4500) == b"a" * 4000 + b"b" * 500 and buffered == [4500]
    stream.finish()
    stream.abort()  # already complete
    assert not stream.aborted and stream.read(10**6) == b"b" * 4500


# On sockets -------------------------------------------------------------------------------------------


def test_a_long_value_passes_completely_between_small_ones_and_is_counted() -> None:
    async def test() -> None:
        long_value = value(MAX_STREAMED_BYTES)
        script = [b"*3\r\n$%d\r\n" % MAX_STREAMED_BYTES + long_value + TAIL, b"*1\r\n$5\r\nsmall\r\n"]
        async with one_gateway(script=script) as (app, backend, _):
            assert await send_commands(app, query("r1"), query("r2")) == [long_value, b"small"] or {
                command[2] for command in backend.commands
            } == {b"r1", b"r2"}
            assert await send_commands(app, query("r3")) == [b"value"]
            assert app.parts.dispatcher.metrics.finished["balance-check"] == [3, 0, 0]
            assert app.parts.stream_budget.open_streams == 0 and app.parts.dispatcher.unanswered == 0

    run_test(test)


def test_the_first_bytes_are_forwarded_at_once_and_the_rest_as_it_comes() -> None:
    async def test() -> None:
        async with one_gateway(script=[None]) as (app, backend, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query())
            await until(lambda: backend.commands)
            backend.writers[0].write(b"*3\r\n$100000\r\nfirst")
            assert await reader.readexactly(14) == b"$100000\r\nfirst"
            assert app.parts.dispatcher.unanswered == 1
            backend.writers[0].write(b"x" * 99_995)
            assert await reader.readexactly(99_995) == b"x" * 99_995
            backend.writers[0].write(TAIL[:2])  # the value's line end: the client has the complete value now
            assert await reader.readexactly(2) == b"\r\n"
            backend.writers[0].write(TAIL[2:])
            assert await send_commands(app, query("r2")) == [b"value"]
            writer.close()

    run_test(test)


def test_a_slow_reader_applies_backpressure_to_its_server_only() -> None:
    async def test() -> None:
        long_value = value(MAX_STREAMED_BYTES)
        async with one_gateway(script=[b"*3\r\n$%d\r\n" % MAX_STREAMED_BYTES + long_value + TAIL]) as (
            app,
            _,
            _list,
        ):
            with socket.create_connection(app.lifecycle.address[:2]) as slow_client:
                slow_client.sendall(query())
                await until(lambda: app.parts.stream_budget.open_streams)
                [pending] = app.parts.dispatcher._pending.values()
                stream = pending.response_stream
                assert stream is not None
                await until(lambda: stream.full)
                for n in range(20):
                    assert await send_commands(app, query(f"beside{n}")) == [b"value"]
                    assert (
                        stream.buffered_bytes
                        <= MAX_WINDOW_BYTES + upstream_connection_module.STREAM_READ_BYTES * 4
                    )
                slow_client.setblocking(False)
                received = bytearray()
                loop = asyncio.get_running_loop()
                head = b"$%d\r\n" % MAX_STREAMED_BYTES
                while len(received) < len(head) + MAX_STREAMED_BYTES + 2:
                    received += await loop.sock_recv(slow_client, 300_000)
                assert received == head + long_value + b"\r\n"
            await until(lambda: app.parts.dispatcher.unanswered == 0)

    run_test(test)


@pytest.mark.parametrize("cause", ["reset", "stall", "malformed"])
def test_an_aborted_value_ends_so_that_the_client_can_detect_it(
    cause: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        upstream_connection_module, "STREAM_SILENCE_TIMEOUT_MS", 100.0 if cause == "stall" else 60_000.0
    )

    async def test() -> None:
        async with one_gateway(script=[None]) as (app, backend, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query("r1", "load-send", key="k"))
            await until(lambda: backend.commands)
            upstream = app.parts.upstreams.by_number[1][1]
            assert isinstance(upstream, upstream_connection_module.RespUpstream)
            upstream._clock = lambda: asyncio.get_running_loop().time() * 1000.0
            backend.writers[0].write(b"*3\r\n$70000\r\nfirst")
            assert await reader.readexactly(13) == b"$70000\r\nfirst"
            if cause == "reset":
                backend.writers[0].transport.abort()
            elif cause == "malformed":
                backend.writers[0].write(b"x" * 70_000)  # five bytes too many
            rest = await reader.read()
            # The connection ended without a complete value.
            assert len(rest) <= 70_000 and not rest.endswith(b"\r\n")
            assert len(backend.commands) == 1  # not retried
            assert (
                app.parts.dispatcher.metrics.finished["load-send"] == [0, 0, 1]
                and app.parts.stream_budget.open_streams == 0
            )
            writer.close()

    run_test(test)


def test_a_server_that_pauses_for_seconds_within_a_long_value_is_waited_for() -> None:
    """Regression: a value was cut off 3 s after its last piece, though its server still gave the rest."""

    async def test() -> None:
        async with one_gateway(script=[None]) as (app, backend, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query())
            await until(lambda: backend.commands)
            upstream = app.parts.upstreams.by_number[1][1]
            assert isinstance(upstream, upstream_connection_module.RespUpstream)
            passed_ms = 0.0
            upstream._clock = lambda: NOW_MS + passed_ms
            backend.writers[0].write(b"*3\r\n$70000\r\nfirst")
            assert await reader.readexactly(13) == b"$70000\r\nfirst"
            passed_ms = 9000.0
            [connection] = upstream._connections
            assert connection.attempt is not None
            upstream.deliver(upstream._check_response_silence, connection, connection.attempt)
            for _ in range(3):  # what the check found is carried out in a later turn
                await asyncio.sleep(0)
            backend.writers[0].write(b"x" * 69_995 + TAIL)
            assert await reader.readexactly(69_997) == b"x" * 69_995 + b"\r\n"
            writer.close()

    run_test(test)


def test_a_client_that_disconnects_midway_ends_the_attempt() -> None:
    async def test() -> None:
        async with one_gateway(script=[None]) as (app, backend, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query())
            await until(lambda: backend.commands)
            backend.writers[0].write(b"*3\r\n$70000\r\nfirst")
            await reader.readexactly(13)
            writer.transport.abort()
            await backend.ended.wait()
            await until(lambda: not app.parts.dispatcher._pending)
            assert app.parts.stream_budget.open_streams == 0

    run_test(test)


@pytest.mark.parametrize("method", ["pause", "end"])
def test_a_value_in_flight_completes_during_a_drain_and_then_its_connection_closes(method: str) -> None:
    async def test() -> None:
        async with one_gateway(script=[None]) as (app, backend, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query())
            await until(lambda: backend.commands)
            backend.writers[0].write(b"*3\r\n$70000\r\nfirst")
            assert await reader.readexactly(13) == b"$70000\r\nfirst"
            getattr(app, method)()
            await until(lambda: app.lifecycle.shutdown.state.value in ("drained", "closing"))
            backend.writers[0].write(b"x" * 69_995 + TAIL)
            assert await reader.read() == b"x" * 69_995 + b"\r\n"  # complete, then the connection's end
            assert app.parts.dispatcher.metrics.finished["balance-check"] == [1, 0, 0]
            writer.close()

    run_test(test)
