"""Long values: passed on in pieces, with back-pressure, in order, and ended so that the client can tell."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from badgeryoke.gateway.resp import upstream_connection as server_link_module
from badgeryoke.gateway.resp.codec import MAX_BULK_BYTES, MAX_STREAMED_BYTES, RespParser, StreamedValue
from badgeryoke.gateway.response_stream import (
    MAX_WINDOW_BYTES,
    MIN_WINDOW_BYTES,
    BufferBudget,
    ResponseStream,
)
from tests.support.running import ask, until
from tests.support.running import run_test as play
from tests.support.stand_ins import connect, one_gateway, query

TAIL = b"\r\n$13\r\nused=1,cost=2\r\n$23\r\ninflight=1,latency_ms=9\r\n"


def value(size: int) -> bytes:
    return bytes(n * 7 % 251 for n in range(1024)) * (size // 1024) + b"x" * (size % 1024)


# The parser and the relay -----------------------------------------------------------------------------


@pytest.mark.parametrize("step", [1000, 4097, 65536, 10**9])
@pytest.mark.parametrize("size", [MAX_BULK_BYTES + 1, 300_000])
def test_a_long_value_is_parsed_in_pieces_however_it_is_split(size: int, step: int) -> None:
    parser, sent, got = RespParser(max_items=8, max_streamed_bytes=MAX_STREAMED_BYTES), value(size), []
    data = b"*3\r\n$%d\r\n" % size + sent + TAIL
    values: list[Any] = []
    for at in range(0, len(data), step):
        values += parser.feed(data[at : at + step])
        got += parser.stream_pieces
        parser.stream_pieces = []
        assert parser.buffered_bytes <= step + 128  # no more is kept than has just come
    assert b"".join(got) == sent and parser.stream_length == size and parser.stream_complete
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
        (b"*3\r\n$1\r\nv\r\n$70000\r\n", "length out of bounds"),  # not the first of the array
        (b"$70000\r\n", "length out of bounds"),  # in no array
        (b"*1\r\n$70000\r\n" + b"x" * 70000 + b"yy", "bulk string without its line end"),
    ],
)
def test_a_malformed_long_value_is_a_protocol_fault(data: bytes, fault: str) -> None:
    parser = RespParser(max_items=8, max_streamed_bytes=MAX_STREAMED_BYTES)
    parser.feed(data)
    assert parser.fault == fault


def test_the_budget_is_shared_out_and_never_below_the_minimum_window() -> None:
    room = BufferBudget(4 * MAX_WINDOW_BYTES)
    relays = [ResponseStream(1, room) for _ in range(4)]
    assert room.window_bytes == MAX_WINDOW_BYTES
    relays += [ResponseStream(1, room) for _ in range(4)]
    assert room.window_bytes == MAX_WINDOW_BYTES // 2
    relays += [ResponseStream(1, room) for _ in range(1000)]
    assert room.window_bytes == MIN_WINDOW_BYTES
    for relay in relays:
        relay.abort()
        relay.cancel()  # counts once
    assert room.open_streams == 0


def test_a_response_stream_frees_capacity_as_it_is_read() -> None:
    relay, told = ResponseStream(10, BufferBudget(8 * 1024)), []
    relay.on_capacity = lambda: told.append(relay.buffered_bytes)
    relay.append(b"a" * 5000)
    relay.append(b"b" * 5000)
    assert relay.full and relay.read(1000) == b"a" * 1000 and told == []
    assert relay.read(4500) == b"a" * 4000 + b"b" * 500 and told == [4500]
    relay.finish()
    relay.abort()  # whole already
    assert not relay.aborted and relay.read(10**6) == b"b" * 4500


# On sockets -------------------------------------------------------------------------------------------


def test_a_long_value_passes_completely_between_small_ones_and_is_counted() -> None:
    async def test() -> None:
        big = value(MAX_STREAMED_BYTES)
        script = [b"*3\r\n$%d\r\n" % MAX_STREAMED_BYTES + big + TAIL, b"*1\r\n$5\r\nsmall\r\n"]
        async with one_gateway(script=script) as (app, node, _):
            assert await ask(app, query("r1"), query("r2")) == [big, b"small"] or {
                command[2] for command in node.commands
            } == {b"r1", b"r2"}
            assert await ask(app, query("r3")) == [b"value"]
            assert app.parts.dispatcher.metrics.finished["balance-check"] == [3, 0, 0]
            assert app.parts.stream_budget.open_streams == 0 and app.parts.dispatcher.unanswered == 0

    play(test)


def test_the_first_bytes_are_forwarded_at_once_and_the_rest_as_it_comes() -> None:
    async def test() -> None:
        async with one_gateway(script=[None]) as (app, node, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query())
            await until(lambda: node.commands)
            node.writers[0].write(b"*3\r\n$100000\r\nfirst")
            assert await reader.readexactly(14) == b"$100000\r\nfirst"
            assert app.parts.dispatcher.unanswered == 1
            node.writers[0].write(b"x" * 99_995)
            assert await reader.readexactly(99_995) == b"x" * 99_995
            node.writers[0].write(TAIL[:2])  # its own line end: the client has it whole, figures or not
            assert await reader.readexactly(2) == b"\r\n"
            node.writers[0].write(TAIL[2:])
            assert await ask(app, query("r2")) == [b"value"]
            writer.close()

    play(test)


def test_a_slow_reader_applies_backpressure_to_its_server_only() -> None:
    async def test() -> None:
        big = value(MAX_STREAMED_BYTES)
        async with one_gateway(script=[b"*3\r\n$%d\r\n" % MAX_STREAMED_BYTES + big + TAIL]) as (
            app,
            _,
            _list,
        ):
            with socket.create_connection(app.lifecycle.address[:2]) as slow:
                slow.sendall(query())
                await until(lambda: app.parts.stream_budget.open_streams)
                [run] = app.parts.dispatcher._pending.values()
                relay = run.response_stream
                assert relay is not None
                await until(lambda: relay.full)
                for n in range(20):
                    assert await ask(app, query(f"beside{n}")) == [b"value"]
                    assert relay.buffered_bytes <= MAX_WINDOW_BYTES + server_link_module.STREAM_READ_BYTES * 4
                slow.setblocking(False)
                got = bytearray()
                loop = asyncio.get_running_loop()
                head = b"$%d\r\n" % MAX_STREAMED_BYTES
                while len(got) < len(head) + MAX_STREAMED_BYTES + 2:
                    got += await loop.sock_recv(slow, 300_000)
                assert got == head + big + b"\r\n"
            await until(lambda: app.parts.dispatcher.unanswered == 0)

    play(test)


@pytest.mark.parametrize("how", ["reset", "stall", "spoilt"])
def test_an_aborted_value_ends_so_that_the_client_can_tell(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        server_link_module, "STREAM_SILENCE_TIMEOUT_MS", 100.0 if how == "stall" else 60_000.0
    )

    async def test() -> None:
        async with one_gateway(script=[None]) as (app, node, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query("r1", "load-send", key="k"))
            await until(lambda: node.commands)
            link = app.parts.upstreams.by_number[1][1]
            assert isinstance(link, server_link_module.RespUpstream)
            link._clock = lambda: asyncio.get_running_loop().time() * 1000.0
            node.writers[0].write(b"*3\r\n$70000\r\nfirst")
            assert await reader.readexactly(13) == b"$70000\r\nfirst"
            if how == "reset":
                node.writers[0].transport.abort()
            elif how == "spoilt":
                node.writers[0].write(b"x" * 70_000)  # five more than belong there
            rest = await reader.read()
            assert len(rest) <= 70_000 and not rest.endswith(b"\r\n")  # the end, and no whole value
            assert len(node.commands) == 1  # never sent again
            assert (
                app.parts.dispatcher.metrics.finished["load-send"] == [0, 0, 1]
                and app.parts.stream_budget.open_streams == 0
            )
            writer.close()

    play(test)


def test_a_client_that_disconnects_midway_ends_the_attempt() -> None:
    async def test() -> None:
        async with one_gateway(script=[None]) as (app, node, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query())
            await until(lambda: node.commands)
            node.writers[0].write(b"*3\r\n$70000\r\nfirst")
            await reader.readexactly(13)
            writer.transport.abort()
            await node.ended.wait()
            await until(lambda: not app.parts.dispatcher._pending)
            assert app.parts.stream_budget.open_streams == 0

    play(test)


@pytest.mark.parametrize("how", ["pause", "end"])
def test_a_value_on_its_way_outlives_a_drain_and_then_its_connection_closes(how: str) -> None:
    async def test() -> None:
        async with one_gateway(script=[None]) as (app, node, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query())
            await until(lambda: node.commands)
            node.writers[0].write(b"*3\r\n$70000\r\nfirst")
            assert await reader.readexactly(13) == b"$70000\r\nfirst"
            getattr(app, how)()
            await until(lambda: app.lifecycle.shutdown.state.value in ("drained", "closing"))
            node.writers[0].write(b"x" * 69_995 + TAIL)
            assert await reader.read() == b"x" * 69_995 + b"\r\n"  # whole, then the end
            assert app.parts.dispatcher.metrics.finished["balance-check"] == [1, 0, 0]
            writer.close()

    play(test)
