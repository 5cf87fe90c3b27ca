"""Golden bytes of the Diameter messages that the gateway sends to clients and servers for fixed inputs."""

from __future__ import annotations

import asyncio
import struct
import zlib
from collections.abc import Callable
from typing import cast

from tornado.iostream import IOStream

from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.attempt import Attempt, AttemptEnd, Request
from badgeryoke.gateway.diameter import codec, upstream_request
from badgeryoke.gateway.diameter.codec import Avp, Message
from badgeryoke.gateway.diameter.dictionary import AvpCode, CommandCode
from badgeryoke.gateway.diameter.peer import Peer, PeerIdentity
from tests.gateway.diameter.test_diameter import FRAMING_ERRORS, INVALID_REQUESTS
from tests.support.canonical import canonical
from tests.support.dispatcher_bench import FakeLoop
from tests.support.golden_files import assert_golden, hex_lines, text_lines
from tests.support.running import run_test
from tests.support.stand_ins import NOW_MS, avp, avps, ccr, cer, connect, event_time, message, one_gateway

REQUESTS, ANSWERS = "diameter-ccr.txt", "diameter-answers.txt"
PEER, SETTLED = "diameter-peer.txt", "diameter-settled.txt"
IDENTITY = PeerIdentity("gw0.yoke.example", "yoke.example", "127.0.0.1", 1_790_000_000)
WATCHDOG_S = 30.0
FIRST_ID = 1000  # the identifier before a connection's first request; random unless a test sets it
HEADER_BYTES = 20

# Requests to a server ---------------------------------------------------------------------------------

CCRS: tuple[tuple[str, Request, bool, int | None, bool], ...] = (
    ("check", Request("r1", "read", "plain", 5, 900.0, 1.0, 2), True, 2, False),
    (
        "debit",
        Request("r2", "write", "plain", 2**33 - 1, 900.0, 2.5, 3, idempotency_key="5c0f6e1a2b3d4c59"),
        False,
        1,
        False,
    ),
    (
        "repeat",
        Request("r2", "write", "plain", 5, 900.0, 2.0, 3, idempotency_key="5c0f6e1a2b3d4c59"),
        False,
        1,
        True,
    ),
    ("no service", Request("r3", "read", "plain", 0, 900.0, 0.4, 1), True, None, False),
    (
        "with a value",
        Request("r4", "write", "plain", 7, 900.0, 1e6, 1, idempotency_key="k", body=b"BO\0DY"),
        False,
        3,
        False,
    ),
)


def requests() -> list[tuple[str, bytes]]:
    """Each request of CCRS, encoded."""
    return [
        (
            name,
            upstream_request.encode_request(
                request,
                IDENTITY,
                idempotent,
                service,
                FIRST_ID + index,
                zlib.crc32((request.idempotency_key or request.id).encode()),
                retransmitted,
            ),
        )
        for index, (name, request, idempotent, service, retransmitted) in enumerate(CCRS)
    ]


def test_each_request_is_encoded_as_the_golden_bytes() -> None:
    assert_golden(REQUESTS, hex_lines(requests()))


def test_a_golden_request_decodes_to_its_avps() -> None:
    for _, data in requests():
        [decoded] = codec.Framer().feed(data)
        assert decoded.encode() == data and decoded.command_code == CommandCode.CREDIT_CONTROL


# Answers of a server ----------------------------------------------------------------------------------


def answer_of(result: int, *more: Avp) -> list[Avp]:
    """The AVPs of an answer."""
    return [codec.unsigned32_avp(AvpCode.RESULT_CODE, result), *more]


GRANTED = codec.units_avp(AvpCode.GRANTED_SERVICE_UNIT, 3)
SERVER_ANSWERS: tuple[tuple[str, list[Avp]], ...] = (
    ("success", answer_of(2001, GRANTED, codec.value_avp(b"value"))),
    ("success alone", answer_of(2001)),
    ("limited success", answer_of(2002, GRANTED)),
    ("too busy", answer_of(3004)),
    ("unable to deliver", answer_of(3002)),
    ("rating failed", answer_of(5031)),
    ("no result", []),
    ("result of one byte", [Avp(AvpCode.RESULT_CODE, b"1")]),
    ("units of one byte", answer_of(2001, codec.grouped_avp(AvpCode.GRANTED_SERVICE_UNIT, [Avp(417, b"1")]))),
    ("value that is cut", answer_of(2001, Avp(AvpCode.SERVICE_PARAMETER_INFO, b"\0\0"))),
)


def attempt_ends() -> list[str]:
    """How an attempt ends with each answer, and what is reported as malformed."""
    lines = []
    for name, reply in SERVER_ANSWERS:
        ends: list[AttemptEnd] = []
        attempt = Attempt(CCRS[0][1], 0, 1, NOW_MS, NOW_MS + 900.0, lambda _, end: ends.append(end))  # noqa: B023
        attempt.written()
        malformed = upstream_request.end_attempt(attempt, reply)
        lines.append(f"{name}: {canonical((ends, malformed))}")
    return lines


def test_each_answer_ends_its_attempt_as_the_golden_file_says() -> None:
    assert_golden(SETTLED, text_lines(attempt_ends()))


# The base protocol on one connection ------------------------------------------------------------------


class Stream:
    """A stream that records the data written to it."""

    error = None

    def __init__(self) -> None:
        self.written: list[bytes] = []
        self.ended = False

    def set_close_callback(self, callback: Callable[[], None]) -> None: ...

    def write(self, data: bytes) -> None:
        self.written.append(data)

    def writing(self) -> bool:
        return False

    def close(self) -> None:
        self.ended = True

    def closed(self) -> bool:
        return self.ended


class ConnectingPeer(Peer):
    """A peer that opened its connection and sends the CER."""

    expects_cer = False


def written_after(peer: Peer, stream: Stream, data: bytes = b"") -> bytes:
    """What a connection writes after it has received data."""
    stream.written.clear()
    if data:
        peer.deliver(peer._receive, data)
    return b"".join(stream.written)


BASE = avp(264, "node.example") + avp(296, "yoke.example")
AVP_TOO_LONG = struct.pack(">II", 1, 0x40 << 24 | 99)
CEA = message(0, 257, 0, FIRST_ID + 1, FIRST_ID + 1, avp(268, 2001) + BASE + avp(258, 4))


def accepting_side() -> list[tuple[str, bytes]]:
    """What the gateway writes on a connection that the peer opened."""
    loop, stream = FakeLoop(), Stream()
    peer = Peer(cast(IOStream, stream), IDENTITY, ActorScheduler(loop), WATCHDOG_S)
    peer._next_id = FIRST_ID
    written = [
        ("CEA", written_after(peer, stream, cer())),
        ("second CER", written_after(peer, stream, cer(hop=2))),
        ("DWA", written_after(peer, stream, message(0x80, 280, 0, 3, 4, BASE))),
    ]
    stream.written.clear()
    loop.run(WATCHDOG_S * 1.2)
    written.append(("DWR", b"".join(stream.written)))
    peer.deliver(peer._receive, message(0, 280, 0, FIRST_ID + 1, FIRST_ID + 1, avp(268, 2001) + BASE))
    written += [
        ("unknown command", written_after(peer, stream, message(0x80, 271, 0, 5, 6, BASE))),
        ("E bit", written_after(peer, stream, message(0xA0, 280, 0, 7, 8, BASE))),
        ("AVP cut", written_after(peer, stream, message(0x80, 280, 0, 9, 9, BASE + AVP_TOO_LONG))),
        ("application", written_after(peer, stream, message(0xC0, 272, 5, 9, 9, BASE))),
        ("DPA", written_after(peer, stream, message(0x80, 282, 0, 9, 10, BASE + avp(273, 0)))),
    ]
    return written


def connecting_side() -> list[tuple[str, bytes]]:
    """What the gateway writes on a connection that it opened."""
    loop, stream = FakeLoop(), Stream()
    peer = ConnectingPeer(cast(IOStream, stream), IDENTITY, ActorScheduler(loop), WATCHDOG_S)
    peer._next_id = FIRST_ID
    peer.deliver(peer.send_request, CommandCode.CAPABILITIES_EXCHANGE, peer.capabilities_avps())
    written = [("CER", b"".join(stream.written)), ("after CEA", written_after(peer, stream, CEA))]
    stream.written.clear()
    peer.deliver(peer.disconnect, codec.DO_NOT_WANT_TO_TALK_TO_YOU)
    return [*written, ("DPR", b"".join(stream.written))]


def first_messages() -> list[tuple[str, bytes]]:
    """The answers to first messages; only `relay` opens the connection."""
    cases = (
        ("no credit control", cer(app=1)),
        ("relay", cer(app=0xFFFFFFFF)),
        ("own host", cer(IDENTITY.host)),
        ("no host", message(0x80, 257, 0, 1, 1, avp(296, "example") + avp(258, 4))),
        ("other command first", message(0x80, 280, 0, 1, 1, BASE)),
    )
    written = []
    for name, data in cases:
        stream = Stream()
        peer = Peer(cast(IOStream, stream), IDENTITY, ActorScheduler(FakeLoop()), WATCHDOG_S)
        written.append((name, written_after(peer, stream, data)))
    return written


def test_the_base_protocol_matches_the_golden_bytes() -> None:
    assert_golden(PEER, hex_lines([*accepting_side(), *connecting_side(), *first_messages()]))


# Answers to a client ----------------------------------------------------------------------------------

GOOD: tuple[tuple[str, bytes], ...] = (
    ("debit", ccr(7, hop=70)),
    ("check", ccr(8, hop=80, action=2)),
    ("value", ccr(11, extra=avp(440, avp(441, 1)))),
    ("proxy", ccr(12, extra=avp(284, avp(280, "p") + avp(33, "state")))),
    ("repeat in the window", ccr(13, flags=0xD0, extra=event_time(NOW_MS))),
    ("same again", ccr(7, hop=71)),
    ("same again, marked", ccr(7, hop=72, flags=0xD0, extra=event_time(NOW_MS))),
)


async def read_whole_message(reader: asyncio.StreamReader) -> bytes:
    """Read the bytes of one message."""
    head = await reader.readexactly(HEADER_BYTES)
    length = struct.unpack(">I", head[:4])[0] & 0xFFFFFF
    return head + await reader.readexactly(length - HEADER_BYTES)


def without_origin_state_id(cea: bytes) -> bytes:
    """Set the Origin-State-Id of a CEA to 0; it is the time when the process started."""
    started = avps(cea[HEADER_BYTES:])[AvpCode.ORIGIN_STATE_ID]
    return cea.replace(avp(AvpCode.ORIGIN_STATE_ID, started), avp(AvpCode.ORIGIN_STATE_ID, b"\0" * 4))


def answers() -> list[tuple[str, bytes]]:
    """The answer to each request from a gateway that has a RESP2 server."""
    recorded: list[tuple[str, bytes]] = []
    faulty = [(str(case.id), cast(bytes, case.values[0])) for case in INVALID_REQUESTS]
    cut_off = [
        (str(case.id), cast(bytes, case.values[0])) for case in FRAMING_ERRORS if case.values[1] is not None
    ]

    async def record() -> None:
        async with one_gateway(diameter=True) as (app, _, _):
            reader, writer = await connect(app.lifecycle.diameter_address)
            writer.write(cer())
            recorded.append(("CEA", without_origin_state_id(await read_whole_message(reader))))
            for name, request in (*GOOD, *faulty):
                writer.write(request)
                recorded.append((name, await read_whole_message(reader)))
            writer.close()
            for name, request in cut_off:
                reader, writer = await connect(app.lifecycle.diameter_address)
                writer.write(cer())
                await read_whole_message(reader)
                writer.write(request)
                recorded.append((f"{name}, to the connection's end", await reader.read()))
                writer.close()

    run_test(record)
    return recorded


def test_each_request_of_a_client_gets_its_golden_answer() -> None:
    assert_golden(ANSWERS, hex_lines(answers()))


def test_messages_are_encoded_as_the_standard_specifies() -> None:
    """Compares the codec with the independent one of the stand-ins."""
    watchdog_request = Message(
        codec.FLAG_REQUEST,
        CommandCode.DEVICE_WATCHDOG,
        0,
        3,
        4,
        codec.encode_avps(
            [
                codec.text_avp(AvpCode.ORIGIN_HOST, "node.example"),
                codec.text_avp(AvpCode.ORIGIN_REALM, "yoke.example"),
            ]
        ),
    )
    assert watchdog_request.encode() == message(0x80, 280, 0, 3, 4, BASE)
