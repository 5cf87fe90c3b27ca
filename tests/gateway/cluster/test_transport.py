"""Tests of connections between members on loopback: delivery, rejected frames, backpressure, reconnects."""

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


def test_messages_are_delivered_in_order_and_those_of_one_loop_iteration_in_one_frame() -> None:
    async def test() -> None:
        async with connected_pair() as (member_a, member_b):
            sent_messages: list[AnyMessage] = [
                PING,
                append_entries(),
                RequestVoteReply("g", 2, True, False),
                append_entries(70_000, 2),
            ]
            for message in sent_messages:
                member_a.transport.send("b/1", message)
            await until(lambda: len(member_b.received) == 4)
            assert member_b.received == [
                ("a/1", message) for message in sent_messages
            ] and member_b.frame_sizes == [4]
            member_b.transport.send("a", PING)  # the name, without an incarnation
            await until(lambda: member_a.received)
            assert member_a.received == [("b/1", PING)] and not member_a.errors + member_b.errors
            assert member_a.transport.status()["b"] == {"up": True, "waiting": 0, "sent": 4, "lost": 0}
            for n in range(40):  # more than one frame
                member_a.transport.send("b/1", append_entries(100_000, n + 1))
            await until(lambda: len(member_b.received) == 44)
            assert len(member_b.frame_sizes) > 4 and [
                delivered.entries[0].index
                for _, delivered in member_b.received[4:]
                if isinstance(delivered, AppendEntries)
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
        async with connected_pair() as (member_a, member_b):
            member_a.transport.send("b", PING)
            await until(lambda: member_b.received)
            for _ in range(2):
                reader, writer = await asyncio.open_connection(HOST, member_b.port)
                writer.write(sent)
                await reader.read()  # until the connection is closed
                writer.close()
            assert member_b.error_codes() == [code] and len(member_b.received) == 1
            # A handshake in the name of `a` may have closed the connection of `a`, which then has to dial again.
            while len(member_b.received) < 2:
                member_a.transport.send("b", PING)
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
        member_b = TransportEndpoint("b/1", a=1)
        member_a = TransportEndpoint(
            "a/1", changes.get("fleet", "f"), **{changes.get("name", "b"): member_b.port}
        )
        member_a.transport.send(changes.get("name", "b"), PING)
        await until(lambda: member_a.errors and member_b.errors)
        assert (member_a.error_codes(), member_b.error_codes()) == ([codes[0]], [codes[1]])
        member_a.transport.close()
        member_b.transport.close()

    run_with_timeout(test)


def test_a_new_incarnation_replaces_the_previous_one() -> None:
    """Messages to the old one do not reach the new one, and messages from the old one are rejected."""

    async def test() -> None:
        async with connected_pair() as (old, member_b):
            old.transport.send("b/1", PING)
            await until(lambda: member_b.received)
            new = TransportEndpoint("a/2", b=member_b.port)
            member_b.transport.peers["a"].address = HOST, new.port
            new.transport.send("b/1", PING)
            await until(lambda: len(member_b.received) == 2)
            assert member_b.received[1][0] == "a/2"
            while not member_b.errors:
                old.transport.send("b/1", PING)
                await asyncio.sleep(0.01)
            assert member_b.error_codes() == ["stale-incarnation"] and len(member_b.received) == 2
            member_b.transport.send("a/1", PING)
            member_b.transport.send("a/2", append_entries())
            await until(lambda: new.received)
            assert new.received == [("b/1", append_entries())] and {*member_b.error_codes()} == {
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
    assert [message.body for message in queue.messages if message.body] == [
        b"h1",
        b"h2",
        b"h3",
        b"h4",
    ] and queue.dropped_count == 2
    queue.add("b", b"h5", False)
    queue.add("b", b"x" * 96, False)
    assert [message.body for message in queue.messages if message.body] == [b"h4", b"h5", b"x" * 96]
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
    """Each iteration sends more than the bound, so that messages are dropped however slow the iterations are."""

    async def test() -> None:
        limits = replace(SHORT_TIMEOUTS, max_queued_bytes=200_000)
        async with (
            connected_pair(limits=limits) as (member_a, member_b),
            UnresponsivePeer(reads) as unresponsive,
        ):
            member_a.transport.peers["c"] = Peer("c", (HOST, unresponsive.port), limits)
            sent = 0
            while unresponsive.connections < 3:
                for _ in range(5):
                    member_a.transport.send("c", PING if reads else append_entries(50_000))
                member_a.transport.send("b", PING)
                sent += 1
                await asyncio.sleep(0.001)
                peer = member_a.transport.peers["c"]
                assert (
                    peer.queue.message_count <= limits.max_queued_messages
                    and peer.queue.size_bytes <= limits.max_queued_bytes
                )
            await until(lambda: len(member_b.received) == sent)
            assert (
                (member_a.transport.peers["c"].queue.dropped_count > 0 or reads)
                and member_a.transport.peers["b"].queue.dropped_count == 0
                and not member_a.errors
            )

    run_with_timeout(test)


def test_an_idle_connection_is_closed_and_reopened_when_needed() -> None:
    async def test() -> None:
        limits = replace(SHORT_TIMEOUTS, idle_timeout_s=0.02, idle_check_interval_s=0.01)
        async with connected_pair(limits=limits) as (member_a, member_b):
            for n in range(1, 4):
                member_a.transport.send("b", PING)
                await until(lambda: len(member_b.received) == n)  # noqa: B023 - awaited in its iteration
                await until(
                    lambda: (
                        not member_a.transport.peers["b"].connected
                        and not member_b.transport.inbound_connection_count
                    )
                )
            assert (
                member_a.transport.peers["b"].queue.dropped_count == 0
                and not member_a.errors + member_b.errors
            )

    run_with_timeout(test)


def test_a_peer_that_starts_late_is_reached_by_retries() -> None:
    async def test() -> None:
        with socket.create_server((HOST, 0)) as reserved_socket:
            port = reserved_socket.getsockname()[1]
        member_a = TransportEndpoint("a/1", b=port)
        for _ in range(20):
            member_a.transport.send("b", PING)
            await asyncio.sleep(0.005)
        member_b = TransportEndpoint("b/1", listening=socket.create_server((HOST, port)), a=member_a.port)
        while not member_b.received:
            member_a.transport.send("b", PING)
            await asyncio.sleep(0.005)
        assert not member_a.errors
        member_a.transport.close()
        member_b.transport.close()

    run_with_timeout(test)


def test_connections_without_a_handshake_are_closed_before_those_of_peers() -> None:
    async def test() -> None:
        async with connected_pair() as (member_a, member_b):
            member_a.transport.send("b", PING)
            await until(lambda: member_b.received)
            unidentified = [await asyncio.open_connection(HOST, member_b.port) for _ in range(30)]
            for reader, writer in unidentified:
                assert await reader.read() == b""
                writer.close()
            member_a.transport.send("b", PING)
            await until(lambda: len(member_b.received) == 2)
            assert member_a.transport.peers["b"].queue.dropped_count == 0 and not member_b.errors

    run_with_timeout(test)


def test_a_message_larger_than_a_frame_is_reported_and_not_sent() -> None:
    async def test() -> None:
        async with connected_pair() as (member_a, member_b):
            member_a.transport.send("b", append_entries(2 << 20))
            member_a.transport.send("b", PING)
            await until(lambda: member_b.received)
            assert member_a.error_codes() == ["bad-frame"] and member_b.received == [("a/1", PING)]

    run_with_timeout(test)


def test_random_bytes_decode_to_an_error_and_never_raise() -> None:
    rng, encoded = (
        Random(5),
        encode_frame(Envelope(PROTOCOL_VERSION, "f", "a/1", "b/1", (PING, append_entries(30))))[4:],
    )
    for _ in range(3000):
        damaged = bytearray(encoded)
        for _ in range(rng.randrange(1, 4)):
            damaged[rng.randrange(len(damaged))] = rng.randrange(256)
        decode_envelope(bytes(damaged[: rng.randrange(len(damaged) + 1)]), "f", "a")
    assert isinstance(decode_envelope(encoded, "f", "a"), Envelope)


def test_a_peer_that_dials_ends_the_reconnect_backoff() -> None:
    async def test() -> None:
        closed_socket = socket.create_server((HOST, 0))
        port = closed_socket.getsockname()[1]
        closed_socket.close()
        member_a = TransportEndpoint(
            "a/1",
            limits=replace(SHORT_TIMEOUTS, min_reconnect_backoff_s=60.0, max_reconnect_backoff_s=60.0),
            b=port,
        )
        member_a.transport.send("b/1", PING)
        await until(lambda: member_a.transport.peers["b"].reconnect_at_s)  # the first attempt has failed
        member_a.transport.send("b/1", PING)  # would wait for a minute
        member_b = TransportEndpoint("b/1", listening=socket.create_server((HOST, port)), a=member_a.port)
        member_b.transport.dial_all()
        await until(lambda: member_b.received)
        member_a.transport.close()
        member_b.transport.close()

    run_with_timeout(test)
