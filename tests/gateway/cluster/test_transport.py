"""Connections between gateways on loopback: delivery, rejected frames, backpressure, reconnects."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace
from random import Random
from typing import Any

import msgspec
import pytest

from badgeryoke.cluster.messages import (
    PROTOCOL_VERSION,
    AnyMessage,
    AppendEntries,
    Envelope,
    RequestVoteReply,
)
from badgeryoke.gateway.cluster.transport import (
    Peer,
    SendQueue,
    TransportLimits,
    decode_envelope,
    encode_frame,
)
from tests.support.running import until
from tests.support.stand_ins import HOST
from tests.support.transport import (
    HANDSHAKE,
    PING,
    SHORT_TIMEOUTS,
    TransportEndpoint,
    UnresponsivePeer,
    append_entries,
    connected_pair,
    run_with_timeout,
)


def test_messages_are_delivered_in_order_and_those_of_one_loop_turn_in_one_frame() -> None:
    async def test() -> None:
        async with connected_pair() as (here, there):
            sent_messages: list[AnyMessage] = [
                PING,
                append_entries(),
                RequestVoteReply("g", 2, True, False),
                append_entries(70_000, 2),
            ]
            for one in sent_messages:
                here.transport.send("b/1", one)
            await until(lambda: len(there.received) == 4)
            assert there.received == [("a/1", one) for one in sent_messages] and there.frame_sizes == [4]
            there.transport.send("a", PING)  # only the name is known
            await until(lambda: here.received)
            assert here.received == [("b/1", PING)] and not here.errors + there.errors
            assert here.transport.status()["b"] == {"up": True, "waiting": 0, "sent": 4, "lost": 0}
            for n in range(40):  # more than one frame
                here.transport.send("b/1", append_entries(100_000, n + 1))
            await until(lambda: len(there.received) == 44)
            assert len(there.frame_sizes) > 4 and [
                m.entries[0].index for _, m in there.received[4:] if isinstance(m, AppendEntries)
            ] == list(range(1, 41))

    run_with_timeout(test)


# Rejected frames

HANDSHAKE_FRAME = encode_frame(HANDSHAKE)


def raw_frame(*fields: Any) -> bytes:
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
        (raw_frame(PROTOCOL_VERSION + 1, "f", {"another": "form"}), "bad-frame"),
        (raw_frame(PROTOCOL_VERSION, "f", "a/1", "b", ("none",)), "bad-frame"),
        (encode_frame(Envelope(PROTOCOL_VERSION, "f", "a/1", "b", (PING,))), "bad-frame"),
        (raw_frame(PROTOCOL_VERSION, "other", "a/1", "b", ()), "another-fleet"),
        (raw_frame(PROTOCOL_VERSION, "f", "nobody/1", "b", ()), "another-fleet"),
        (raw_frame(PROTOCOL_VERSION, "f", "b/1", "b", ()), "another-fleet"),
        (raw_frame(PROTOCOL_VERSION, "f", "a", "b", ()), "another-fleet"),
        (raw_frame(PROTOCOL_VERSION, "f", "a/1", "b/0", ()), "stale-incarnation"),
        (HANDSHAKE_FRAME + raw_frame(PROTOCOL_VERSION, "f", "a/1", "b/0", (PING,)), "stale-incarnation"),
        (HANDSHAKE_FRAME + raw_frame(PROTOCOL_VERSION, "f", "c/1", "b", (PING,)), "bad-frame"),
        (HANDSHAKE_FRAME + raw_frame(PROTOCOL_VERSION, "f", "a/1", "b", (["Unheard", 1],)), "bad-frame"),
        (
            HANDSHAKE_FRAME + raw_frame(PROTOCOL_VERSION, "f", "a/1", "b", (["Ping", "one", "b/1", []],)),
            "bad-frame",
        ),
        (
            HANDSHAKE_FRAME + encode_frame(Envelope(PROTOCOL_VERSION, "f", "a/1", "b", (PING,) * 1025)),
            "bad-frame",
        ),
        (HANDSHAKE_FRAME + (2 << 20).to_bytes(4, "big"), "bad-frame"),
    ],
    ids=[
        "not the protocol",
        "frame too long",
        "empty frame",
        "not MessagePack",
        "nested too deep",
        "another version",
        "messages of no type",
        "messages before the handshake",
        "another cluster",
        "unknown member",
        "own name",
        "no incarnation",
        "another incarnation of the receiver",
        "later frame to another incarnation",
        "later frame of another sender",
        "unknown message",
        "wrong field type",
        "too many messages",
        "later frame too long",
    ],
)
def test_a_bad_frame_closes_its_own_connection_and_is_reported_once(sent: bytes, code: str) -> None:
    async def test() -> None:
        async with connected_pair() as (here, there):
            here.transport.send("b", PING)
            await until(lambda: there.received)
            for _ in range(2):
                reader, writer = await asyncio.open_connection(HOST, there.port)
                writer.write(sent)
                await reader.read()  # to the end of the connection
                writer.close()
            assert there.error_codes() == [code] and len(there.received) == 1
            while len(there.received) < 2:  # a hello in its name has ended the other's link: it dials again
                here.transport.send("b", PING)
                await asyncio.sleep(0.01)

    run_with_timeout(test)


@pytest.mark.parametrize(
    ("changes", "codes"),
    [
        ({"fleet": "other"}, ("another-fleet", "another-fleet")),
        ({"name": "c"}, ("another-fleet", "another-fleet")),
    ],
    ids=["cluster", "member"],
)
def test_both_sides_report_a_mismatched_cluster_or_member(
    changes: dict[str, str], codes: tuple[str, str]
) -> None:
    async def test() -> None:
        there = TransportEndpoint("b/1", a=1)
        here = TransportEndpoint("a/1", changes.get("fleet", "f"), **{changes.get("name", "b"): there.port})
        here.transport.send(changes.get("name", "b"), PING)
        await until(lambda: here.errors and there.errors)
        assert (here.error_codes(), there.error_codes()) == ([codes[0]], [codes[1]])
        here.transport.close()
        there.transport.close()

    run_with_timeout(test)


def test_a_new_incarnation_replaces_the_previous_one() -> None:
    """What is meant for the old one does not reach the new; and the old one is not heard again."""

    async def test() -> None:
        async with connected_pair() as (old, there):
            old.transport.send("b/1", PING)
            await until(lambda: there.received)
            new = TransportEndpoint("a/2", b=there.port)
            there.transport.peers["a"].address = HOST, new.port
            new.transport.send("b/1", PING)
            await until(lambda: len(there.received) == 2)
            assert there.received[1][0] == "a/2"
            while not there.errors:
                old.transport.send("b/1", PING)
                await asyncio.sleep(0.01)
            assert there.error_codes() == ["stale-incarnation"] and len(there.received) == 2
            there.transport.send("a/1", PING)
            there.transport.send("a/2", append_entries())
            await until(lambda: new.received)
            assert new.received == [("b/1", append_entries())] and {*there.error_codes()} == {
                "stale-incarnation"
            }
            new.transport.close()

    run_with_timeout(test)


# Backpressure and reconnects


def test_a_full_send_queue_drops_the_oldest_low_priority_message_then_the_oldest() -> None:
    limits = TransportLimits(max_queued_messages=4, max_queued_bytes=100)
    queue = SendQueue(limits)
    for body, low_priority in (
        (b"h1", False),
        (b"l1", True),
        (b"h2", False),
        (b"l2", True),
        (b"h3", False),
        (b"h4", False),
    ):
        queue.add("b", body, low_priority)
    assert [one.body for one in queue.messages if one.body] == [
        b"h1",
        b"h2",
        b"h3",
        b"h4",
    ] and queue.dropped_count == 2
    queue.add("b", b"h5", False)
    queue.add("b", b"x" * 96, False)
    assert [one.body for one in queue.messages if one.body] == [b"h4", b"h5", b"x" * 96]
    assert (queue.message_count, queue.size_bytes) == (3, 100)
    for n in range(1000):
        queue.add("b", b"%d" % n, n % 2 == 0)
    assert queue.message_count == 4 and len(queue.messages) <= 8 and len(queue.low_priority_messages) <= 8
    to, bodies = queue.next_batch()
    assert (
        to == "b"
        and len(bodies) == 4
        and (queue.message_count, queue.size_bytes) == (0, 0)
        and not queue.low_priority_messages
    )


@pytest.mark.parametrize(
    "reads",
    [False, True],
    ids=["reads nothing", "answers nothing"],
)
def test_a_stalled_peer_is_disconnected_and_delays_no_other(reads: bool) -> None:
    """More than the bound is sent in each turn, so that something is lost however slow the turns are."""

    async def test() -> None:
        limits = replace(SHORT_TIMEOUTS, max_queued_bytes=200_000)
        async with connected_pair(limits=limits) as (here, there), UnresponsivePeer(reads) as unresponsive:
            here.transport.peers["c"] = Peer("c", (HOST, unresponsive.port), limits)
            sent = 0
            while unresponsive.connections < 3:
                for _ in range(5):
                    here.transport.send("c", PING if reads else append_entries(50_000))
                here.transport.send("b", PING)
                sent += 1
                await asyncio.sleep(0.001)
                peer = here.transport.peers["c"]
                assert (
                    peer.queue.message_count <= limits.max_queued_messages
                    and peer.queue.size_bytes <= limits.max_queued_bytes
                )
            await until(lambda: len(there.received) == sent)
            assert (
                (here.transport.peers["c"].queue.dropped_count > 0 or reads)
                and here.transport.peers["b"].queue.dropped_count == 0
                and not here.errors
            )

    run_with_timeout(test)


def test_an_idle_connection_is_closed_and_reopened_when_needed() -> None:
    async def test() -> None:
        limits = replace(SHORT_TIMEOUTS, idle_timeout_s=0.02, idle_check_interval_s=0.01)
        async with connected_pair(limits=limits) as (here, there):
            for n in range(1, 4):
                here.transport.send("b", PING)
                await until(lambda: len(there.received) == n)  # noqa: B023 - awaited in its round
                await until(
                    lambda: (
                        not here.transport.peers["b"].connected
                        and not there.transport.inbound_connection_count
                    )
                )
            assert here.transport.peers["b"].queue.dropped_count == 0 and not here.errors + there.errors

    run_with_timeout(test)


def test_a_peer_that_starts_late_is_reached_by_retries() -> None:
    async def test() -> None:
        with socket.create_server((HOST, 0)) as free:
            port = free.getsockname()[1]
        here = TransportEndpoint("a/1", b=port)
        for _ in range(20):
            here.transport.send("b", PING)
            await asyncio.sleep(0.005)
        there = TransportEndpoint("b/1", listening=socket.create_server((HOST, port)), a=here.port)
        while not there.received:
            here.transport.send("b", PING)
            await asyncio.sleep(0.005)
        assert not here.errors
        here.transport.close()
        there.transport.close()

    run_with_timeout(test)


def test_connections_without_a_handshake_are_closed_before_those_of_peers() -> None:
    async def test() -> None:
        async with connected_pair() as (here, there):
            here.transport.send("b", PING)
            await until(lambda: there.received)
            strangers = [await asyncio.open_connection(HOST, there.port) for _ in range(30)]
            for reader, writer in strangers:
                assert await reader.read() == b""
                writer.close()
            here.transport.send("b", PING)
            await until(lambda: len(there.received) == 2)
            assert here.transport.peers["b"].queue.dropped_count == 0 and not there.errors

    run_with_timeout(test)


def test_a_message_larger_than_a_frame_is_reported_and_not_sent() -> None:
    async def test() -> None:
        async with connected_pair() as (here, there):
            here.transport.send("b", append_entries(2 << 20))
            here.transport.send("b", PING)
            await until(lambda: there.received)
            assert here.error_codes() == ["bad-frame"] and there.received == [("a/1", PING)]

    run_with_timeout(test)


def test_random_bytes_decode_to_an_error_and_never_raise() -> None:
    draw, encoded = (
        Random(5),
        encode_frame(Envelope(PROTOCOL_VERSION, "f", "a/1", "b/1", (PING, append_entries(30))))[4:],
    )
    for _ in range(3000):
        damaged = bytearray(encoded)
        for _ in range(draw.randrange(1, 4)):
            damaged[draw.randrange(len(damaged))] = draw.randrange(256)
        decode_envelope(bytes(damaged[: draw.randrange(len(damaged) + 1)]), "f", "a")
    assert isinstance(decode_envelope(encoded, "f", "a"), Envelope)


def test_a_peer_that_dials_ends_the_reconnect_backoff() -> None:
    async def test() -> None:
        closed = socket.create_server((HOST, 0))
        port = closed.getsockname()[1]
        closed.close()
        here = TransportEndpoint(
            "a/1",
            limits=replace(SHORT_TIMEOUTS, min_reconnect_backoff_s=60.0, max_reconnect_backoff_s=60.0),
            b=port,
        )
        here.transport.send("b/1", PING)
        await until(lambda: here.transport.peers["b"].reconnect_at_s)  # nobody is there
        here.transport.send("b/1", PING)  # waits for a minute
        there = TransportEndpoint("b/1", listening=socket.create_server((HOST, port)), a=here.port)
        there.transport.dial_all()
        await until(lambda: there.received)
        here.transport.close()
        there.transport.close()

    run_with_timeout(test)
