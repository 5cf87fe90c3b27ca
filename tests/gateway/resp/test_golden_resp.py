"""Golden RESP2 and HTTP bytes: responses to clients, and requests to servers, the counter and discovery."""

from __future__ import annotations

import asyncio
import contextlib
import json

from badgeryoke.decisions import interface as api
from badgeryoke.gateway.actor import ActorScheduler
from badgeryoke.gateway.attempt import Attempt, AttemptEnd, Request
from badgeryoke.gateway.quota_counter.codec import encode_increment, parse_total
from badgeryoke.gateway.resp import client_connection, upstream_connection
from badgeryoke.gateway.resp.codec import ErrorReply, RespParser, Status, Value
from badgeryoke.gateway.response_stream import MAX_WINDOW_BYTES, BufferBudget, ResponseStream
from badgeryoke.gateway.responses import Failed, Rejected, Response, Served, Streaming
from tests.support.canonical import canonical
from tests.support.golden_files import assert_golden, escaped_lines, text_lines
from tests.support.running import run_test, until
from tests.support.stand_ins import (
    HOST,
    NOW_MS,
    Standin,
    config,
    connect,
    entry,
    gateway,
    one_gateway,
    query,
    resp,
)

CLIENT_RESPONSES_FILE, FINAL_RESPONSES_FILE, ATTEMPT_REQUESTS_FILE = (
    "resp-client.txt",
    "resp-answers.txt",
    "resp-attempts.txt",
)
COUNTER_CALLS_FILE, DISCOVERY_REQUESTS_FILE, ATTEMPT_ENDS_FILE = (
    "counter-calls.txt",
    "discovery-requests.txt",
    "resp-settled.txt",
)

# Responses to clients ---------------------------------------------------------------------------------

FINAL_RESPONSES: tuple[tuple[str, Response], ...] = (
    ("served", Served(b"value", 2.0)),
    ("served, empty", Served(b"")),
    ("served, line ends", Served(b"a\r\nb\0")),
    ("refused", Rejected(20.4)),
    ("refused, at once", Rejected(0.0)),
    ("refused, may have run", Rejected(1e6, True)),
    ("failed", Failed("may have run")),
    ("failed, line end in the detail", Failed("a\r\nb")),
    ("a long value's head", Streaming(ResponseStream(100_000, BufferBudget(MAX_WINDOW_BYTES)))),
)
VALID_FIELD_LIST = "c=balance-check,t=dealer,d=60000,units=1,spread=2,first=0"
CUSTOMER = f"{5:016x}"


def query_with_field_list(old: str, new: str) -> bytes:
    """Return a query whose field list differs from the valid one in one place."""
    return resp("SVC.QUERY", CUSTOMER, "r1", VALID_FIELD_LIST.replace(old, new))


COMMANDS: tuple[tuple[str, bytes], ...] = (
    ("query", query()),
    ("small letters", resp("svc.query", CUSTOMER, "r1", VALID_FIELD_LIST)),
    ("submit", query("r1", "load-send", key="5c0f6e1a2b3d4c59")),
    ("with a body", query(body="BODY")),
    ("PING", resp("PING")),
    ("CLIENT", resp("CLIENT", "SETNAME", "x")),
    ("SELECT", resp("SELECT", "0")),
    ("unknown command", resp("GET", "x")),
    ("empty array", b"*0\r\n"),
    ("no array", b"$4\r\nPING\r\n"),
    ("number for a name", b"*1\r\n:5\r\n"),
    ("too few words", resp("SVC.QUERY", CUSTOMER)),
    ("customer too short", resp("SVC.QUERY", "5", "r1", VALID_FIELD_LIST)),
    ("customer out of range", resp("SVC.QUERY", "f" * 16, "r1", VALID_FIELD_LIST)),
    ("id with a blank", resp("SVC.QUERY", CUSTOMER, "r 1", VALID_FIELD_LIST)),
    ("list too long", resp("SVC.QUERY", CUSTOMER, "r1", "x" * 2000)),
    ("list without pairs", resp("SVC.QUERY", CUSTOMER, "r1", "x")),
    *(
        (f"no {key}", query_with_field_list(part, ""))
        for key, part in (
            ("c", "c=balance-check,"),
            ("t", "t=dealer,"),
            ("d", "d=60000,"),
            ("units", "units=1,"),
            ("spread", "spread=2,"),
            ("first", ",first=0"),
        )
    ),
    *(
        (f"spoilt: {new}", query_with_field_list(old, new))
        for old, new in (
            ("d=60000", "d=x"),
            ("d=60000", "d=-1"),
            ("d=60000", "d=99999999"),
            ("units=1", "units=x"),
            ("units=1", "units=1e9"),
            ("units=1", "units=7"),
            ("spread=2", "spread=0.5"),
            ("spread=2", "spread=0"),
            ("spread=2", "spread=3"),
            ("first=0", "first=x"),
            ("c=balance-check", "c=video"),
            ("t=dealer", "t=none"),
            ("c=balance-check", "c=load-send"),
            ("d=60000", "d=60000,r=2"),
            ("d=60000", "d=60000,k=a b"),
            ("d=60000", "d=60000,d=1"),
        )
    ),
    (
        "keyed without a key",
        resp("SVC.SUBMIT", CUSTOMER, "r1", VALID_FIELD_LIST.replace("balance-check", "load-send")),
    ),
    ("no RESP2", b"GET / HTTP/1.1\r\n\r\n"),
    ("array too long", b"*99\r\n"),
    ("negative length", b"*1\r\n$-5\r\n"),
    ("length too long", b"*1\r\n$99999999\r\n"),
    ("array in an array", b"*1\r\n*1\r\n*1\r\n$1\r\na\r\n"),
    ("length no number", b"*1\r\n$x\r\n"),
    ("line too long", b"*1\r\n$" + b"1" * 2000),
)


async def read_response(reader: asyncio.StreamReader) -> bytes:
    """Return the bytes of one response."""
    line = await reader.readuntil(b"\r\n")
    if not line.startswith(b"$"):
        return line
    return line + await reader.readexactly(int(line[1:]) + 2)


def responses_to_commands() -> list[tuple[str, bytes]]:
    """Return the response to each command, each on a connection of its own."""
    responses: list[tuple[str, bytes]] = []

    async def record() -> None:
        async with one_gateway() as (app, _, _):
            for name, command in COMMANDS:
                reader, writer = await connect(app.lifecycle.address)
                writer.write(command)
                responses.append((name, await read_response(reader)))
                writer.close()
            reader, writer = await connect(app.lifecycle.address)
            writer.write(resp("GET") * 5)
            responses.append(("many faults, to the connection's end", await reader.read()))
            writer.close()

    run_test(record)
    return responses


def responses_to_failed_requests() -> list[tuple[str, bytes]]:
    """Return the responses to a request that fails at the backend and to one with the id of a request in flight."""
    responses: list[tuple[str, bytes]] = []

    async def record() -> None:
        async with one_gateway(script=[b"-ERR failed\r\n"] * 9) as (app, _, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query("r1"))
            responses.append(("server failed", await read_response(reader)))
            writer.close()
        async with one_gateway(script=[None]) as (app, backend, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query("r1"))
            await until(lambda: backend.commands)
            writer.write(query("r1"))
            other_reader, other_writer = await connect(app.lifecycle.address)
            other_writer.write(query("r1"))
            responses.append(("id of an open request", await read_response(other_reader)))
            other_writer.close()
            writer.close()

    run_test(record)
    return responses


def test_each_final_response_has_its_golden_bytes() -> None:
    assert_golden(
        FINAL_RESPONSES_FILE,
        escaped_lines(
            (name, client_connection.encode_response(response)) for name, response in FINAL_RESPONSES
        ),
    )


def test_the_response_to_each_command_has_its_golden_bytes() -> None:
    assert_golden(
        CLIENT_RESPONSES_FILE, escaped_lines([*responses_to_commands(), *responses_to_failed_requests()])
    )


# Requests to servers ----------------------------------------------------------------------------------

REQUESTS: tuple[tuple[str, Request, bool, float], ...] = (
    ("safe", Request("r1", "read", "plain", 5, 900.0, 1.0, 2), True, 899.2),
    (
        "keyed",
        Request("r2", "write", "plain", 2**33 - 1, 900.0, 2.5, 3, 1, idempotency_key="5c0f6e1a2b3d4c59"),
        False,
        0.3,
    ),
    ("retry", Request("r3", "write", "plain", 0, 900.0, 1 / 3, 1, 1, True, "k"), False, 1e6),
    ("body", Request("r4", "read", "plain", 255, 900.0, 1e6, 1, body=b"BO\r\nDY\0"), True, 1.0),
    ("empty body", Request("r5", "read", "plain", 255, 900.0, 0.0, 1, body=b""), True, -5.0),
)
REPLIES: tuple[tuple[str, Value], ...] = (
    ("whole", [b"value", b"used=1,cost=2.5", b"inflight=1,latency_ms=9"]),
    ("value alone", [b"value"]),
    ("no load", [b"value", b"cost=1"]),
    ("no cost", [b"value", b"used=1", None]),
    ("unreadable use", [b"value", b"x"]),
    ("unreadable load", [b"value", None, b"inflight=x,latency_ms=9"]),
    ("load lacks a field", [b"value", None, b"inflight=1"]),
    ("numbers", [b"value", 5, 6]),
    ("no value", [None]),
    ("four", [b"a", b"b", b"c", b"d"]),
    ("empty", []),
    ("a string", b"value"),
    ("a status", [Status(b"OK")]),
    ("busy", ErrorReply(b"BUSY 20")),
    ("busy alone", ErrorReply(b"BUSY")),
    ("failed", ErrorReply(b"ERR failed used=3")),
    ("other error", ErrorReply(b"ERR unknown")),
    ("BUSYX", ErrorReply(b"BUSYX")),
)


class RecordingBackend(Standin):
    """Records all bytes up to the end of each connection, and sends no responses."""

    def __init__(self) -> None:
        super().__init__()
        self.received: list[bytes] = []
        self.ended = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        index = len(self.received)
        self.received.append(b"")
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                self.received[index] += data
        self.ended.set()


def bytes_of_cancelled_attempt() -> list[tuple[str, bytes]]:
    """Return all bytes of a connection whose attempt is cancelled, which only closes it, and the attempt's end."""
    written: list[tuple[str, bytes]] = []
    ends: list[AttemptEnd] = []

    async def record() -> None:
        async with RecordingBackend() as backend:
            upstream = upstream_connection.RespUpstream(
                (HOST, backend.port),
                ActorScheduler(asyncio.get_running_loop()),
                lambda: NOW_MS,
                report_names=(),
                connect_ms=5000.0,
                idle_ms=30_000.0,
                max_connections=4,
            )
            written_event = asyncio.Event()
            attempt = Attempt(
                REQUESTS[1][1],
                0,
                1,
                NOW_MS,
                NOW_MS + 900.0,
                lambda _, end: ends.append(end),
                on_written=written_event.set,
            )
            attempt.request.idempotent = False
            upstream.start(attempt)
            await written_event.wait()
            attempt.abort(api.Verdict.CANCELLED, final=True)
            await backend.ended.wait()
            written.extend(("cancelled", data) for data in backend.received)

    run_test(record)
    return [*written, *(("its end", canonical(end).encode()) for end in ends)]


def attempt_ends_by_reply() -> list[str]:
    """Return how attempts end, by the reply received for them."""
    lines = []
    for name, reply in REPLIES:
        ends: list[AttemptEnd] = []
        attempt = Attempt(REQUESTS[0][1], 0, 1, NOW_MS, NOW_MS + 900.0, lambda _, end: ends.append(end))  # noqa: B023
        attempt.written()
        outcome = upstream_connection.complete_attempt(attempt, reply, ("latency_ms", "inflight"), 6.0)
        lines.append(f"{name}: {canonical((ends, outcome))}")
    return lines


def test_each_attempt_is_written_with_its_golden_bytes() -> None:
    attempts = [
        (name, upstream_connection.encode_request(request, idempotent, remaining_ms))
        for name, request, idempotent, remaining_ms in REQUESTS
    ]
    assert_golden(ATTEMPT_REQUESTS_FILE, escaped_lines([*attempts, *bytes_of_cancelled_attempt()]))


def test_each_reply_ends_an_attempt_as_in_the_golden_file() -> None:
    assert_golden(ATTEMPT_ENDS_FILE, text_lines(attempt_ends_by_reply()))


# The counter and discovery ----------------------------------------------------------------------------

COUNTER_CALLS = (
    (1, 1.0, 2500.0),
    (2**63 - 1, 0.1234567, 0.2),
    (0, 0.0, 1e9),
    (7, -1.5, 999.5),
    (7, 1e6, 60_000.0),
)
TOTAL_REPLIES = (b"5", b"5.25", b"-1", b"+.5e3", b"1e999", b"", b"x", b"1_0", b"nan", b" 5", b"1" * 65)


def counter_call_lines() -> bytes:
    """Return encoded calls, and the totals parsed from replies."""
    encoded_calls = [(f"{call}", encode_increment(*call)) for call in COUNTER_CALLS]
    return escaped_lines(encoded_calls) + text_lines(
        f"{total!r}: {parse_total(total)}" for total in TOTAL_REPLIES
    )


class RecordingDiscovery(Standin):
    """Responds with a full endpoint list, then with a change, and records the heads of all requests."""

    def __init__(self) -> None:
        super().__init__()
        self.heads: list[bytes] = []
        self.third_request = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for full, version in ((True, 4), (False, 9)):
            self.heads.append(await reader.readuntil(b"\r\n\r\n"))
            body = json.dumps({"version": version, "full": full, "servers": [entry("a", 1)]}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        self.heads.append(await reader.readuntil(b"\r\n\r\n"))
        self.third_request.set()
        await reader.read()


def discovery_requests() -> list[tuple[str, bytes]]:
    """Return the first requests to discovery, with PORT in place of the port number."""
    heads: list[bytes] = []

    async def record() -> None:
        async with RecordingDiscovery() as discovery:
            async with gateway(config(discovery.port, None)):
                await discovery.third_request.wait()
            distinct_heads = dict.fromkeys(discovery.heads)  # a stalled machine repeats a request
            heads.extend(head.replace(b":%d\r\n" % discovery.port, b":PORT\r\n") for head in distinct_heads)

    run_test(record)
    return [(f"request {number}", head) for number, head in enumerate(heads, 1)]


def test_counter_calls_have_their_golden_bytes() -> None:
    assert_golden(COUNTER_CALLS_FILE, counter_call_lines())


def test_discovery_requests_have_their_golden_bytes() -> None:
    assert_golden(DISCOVERY_REQUESTS_FILE, escaped_lines(discovery_requests()))


def test_an_encoded_request_is_parsed_as_one_command() -> None:
    """The golden bytes are valid RESP2: a parser finds exactly one command in each request."""
    for _, request, idempotent, remaining_ms in REQUESTS:
        [command] = RespParser().feed(upstream_connection.encode_request(request, idempotent, remaining_ms))
        assert isinstance(command, list) and command[2] == request.id.encode()
