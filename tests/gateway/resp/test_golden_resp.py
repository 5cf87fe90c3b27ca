"""RESP2 and HTTP bytes: what clients are answered, and what servers, the counter and discovery are sent."""

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
from tests.support.running import run_test as play
from tests.support.running import until
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

CLIENTS, ANSWERS, ATTEMPTS = "resp-client.txt", "resp-answers.txt", "resp-attempts.txt"
CALLS, DISCOVERY, SETTLED = "counter-calls.txt", "discovery-requests.txt", "resp-settled.txt"

# What clients are answered ----------------------------------------------------------------------------

FINAL: tuple[tuple[str, Response], ...] = (
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
GOOD_LIST = "c=balance-check,t=dealer,d=60000,units=1,spread=2,first=0"
CUSTOMER = f"{5:016x}"


def listed(old: str, new: str) -> bytes:
    """A query whose list is changed in one place."""
    return resp("SVC.QUERY", CUSTOMER, "r1", GOOD_LIST.replace(old, new))


COMMANDS: tuple[tuple[str, bytes], ...] = (
    ("query", query()),
    ("small letters", resp("svc.query", CUSTOMER, "r1", GOOD_LIST)),
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
    ("customer too short", resp("SVC.QUERY", "5", "r1", GOOD_LIST)),
    ("customer out of range", resp("SVC.QUERY", "f" * 16, "r1", GOOD_LIST)),
    ("id with a blank", resp("SVC.QUERY", CUSTOMER, "r 1", GOOD_LIST)),
    ("list too long", resp("SVC.QUERY", CUSTOMER, "r1", "x" * 2000)),
    ("list without pairs", resp("SVC.QUERY", CUSTOMER, "r1", "x")),
    *(
        (f"no {key}", listed(part, ""))
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
        (f"spoilt: {new}", listed(old, new))
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
        resp("SVC.SUBMIT", CUSTOMER, "r1", GOOD_LIST.replace("balance-check", "load-send")),
    ),
    ("no RESP2", b"GET / HTTP/1.1\r\n\r\n"),
    ("array too long", b"*99\r\n"),
    ("negative length", b"*1\r\n$-5\r\n"),
    ("length too long", b"*1\r\n$99999999\r\n"),
    ("array in an array", b"*1\r\n*1\r\n*1\r\n$1\r\na\r\n"),
    ("length no number", b"*1\r\n$x\r\n"),
    ("line too long", b"*1\r\n$" + b"1" * 2000),
)


async def whole_answer(reader: asyncio.StreamReader) -> bytes:
    """The bytes of one answer."""
    line = await reader.readuntil(b"\r\n")
    if not line.startswith(b"$"):
        return line
    return line + await reader.readexactly(int(line[1:]) + 2)


def client_answers() -> list[tuple[str, bytes]]:
    """What each command gets on a connection of its own."""
    answers: list[tuple[str, bytes]] = []

    async def record() -> None:
        async with one_gateway() as (app, _, _):
            for name, command in COMMANDS:
                reader, writer = await connect(app.lifecycle.address)
                writer.write(command)
                answers.append((name, await whole_answer(reader)))
                writer.close()
            reader, writer = await connect(app.lifecycle.address)
            writer.write(resp("GET") * 5)
            answers.append(("many faults, to the connection's end", await reader.read()))
            writer.close()

    play(record)
    return answers


def failed_answers() -> list[tuple[str, bytes]]:
    """What a client gets where its query went wrong behind the gateway."""
    answers: list[tuple[str, bytes]] = []

    async def record() -> None:
        async with one_gateway(script=[b"-ERR failed\r\n"] * 9) as (app, _, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query("r1"))
            answers.append(("server failed", await whole_answer(reader)))
            writer.close()
        async with one_gateway(script=[None]) as (app, node, _):
            reader, writer = await connect(app.lifecycle.address)
            writer.write(query("r1"))
            await until(lambda: node.commands)
            writer.write(query("r1"))
            other, second = await connect(app.lifecycle.address)
            second.write(query("r1"))
            answers.append(("id of an open request", await whole_answer(other)))
            second.close()
            writer.close()

    play(record)
    return answers


def test_each_final_answer_has_its_golden_bytes() -> None:
    assert_golden(
        ANSWERS, escaped_lines((name, client_connection.encode_response(answer)) for name, answer in FINAL)
    )


def test_each_command_gets_its_golden_bytes() -> None:
    assert_golden(CLIENTS, escaped_lines([*client_answers(), *failed_answers()]))


# What servers are sent --------------------------------------------------------------------------------

QUERIES: tuple[tuple[str, Request, bool, float], ...] = (
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


class Recorder(Standin):
    """Takes whatever comes, up to the connection's end, and answers nothing."""

    def __init__(self) -> None:
        super().__init__()
        self.received: list[bytes] = []
        self.ended = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        place = len(self.received)
        self.received.append(b"")
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                self.received[place] += data
        self.ended.set()


def cancelled_attempt() -> list[tuple[str, bytes]]:
    """All bytes of a connection whose attempt is cancelled: its end is what cancels."""
    written: list[tuple[str, bytes]] = []
    ends: list[AttemptEnd] = []

    async def record() -> None:
        async with Recorder() as node:
            link = upstream_connection.RespUpstream(
                (HOST, node.port),
                ActorScheduler(asyncio.get_running_loop()),
                lambda: NOW_MS,
                report_names=(),
                connect_ms=5000.0,
                idle_ms=30_000.0,
                max_connections=4,
            )
            out = asyncio.Event()
            execution = Attempt(
                QUERIES[1][1],
                0,
                1,
                NOW_MS,
                NOW_MS + 900.0,
                lambda _, end: ends.append(end),
                on_written=out.set,
            )
            execution.request.idempotent = False
            link.start(execution)
            await out.wait()
            execution.abort(api.Verdict.CANCELLED, final=True)
            await node.ended.wait()
            written.extend(("cancelled", data) for data in node.received)

    play(record)
    return [*written, *(("its end", canonical(end).encode()) for end in ends)]


def settled() -> list[str]:
    """How attempts end by what came back for them."""
    lines = []
    for name, reply in REPLIES:
        ends: list[AttemptEnd] = []
        execution = Attempt(QUERIES[0][1], 0, 1, NOW_MS, NOW_MS + 900.0, lambda _, end: ends.append(end))  # noqa: B023
        execution.written()
        left = upstream_connection.complete_attempt(execution, reply, ("latency_ms", "inflight"), 6.0)
        lines.append(f"{name}: {canonical((ends, left))}")
    return lines


def test_each_attempt_is_written_in_its_golden_bytes() -> None:
    attempts = [
        (name, upstream_connection.encode_request(asked, safe, left)) for name, asked, safe, left in QUERIES
    ]
    assert_golden(ATTEMPTS, escaped_lines([*attempts, *cancelled_attempt()]))


def test_each_reply_ends_an_attempt_in_the_golden_way() -> None:
    assert_golden(SETTLED, text_lines(settled()))


# The counter and discovery ----------------------------------------------------------------------------

COUNTER_CALLS = (
    (1, 1.0, 2500.0),
    (2**63 - 1, 0.1234567, 0.2),
    (0, 0.0, 1e9),
    (7, -1.5, 999.5),
    (7, 1e6, 60_000.0),
)
TOTALS = (b"5", b"5.25", b"-1", b"+.5e3", b"1e999", b"", b"x", b"1_0", b"nan", b" 5", b"1" * 65)


def counter_lines() -> bytes:
    """Calls as they are written, and totals as they are read."""
    calls = [(f"{call}", encode_increment(*call)) for call in COUNTER_CALLS]
    return escaped_lines(calls) + text_lines(f"{total!r}: {parse_total(total)}" for total in TOTALS)


class DiscoveryRecorder(Standin):
    """Answers with the whole list, then with a change, and keeps the heads of all requests."""

    def __init__(self) -> None:
        super().__init__()
        self.heads: list[bytes] = []
        self.third = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for full, version in ((True, 4), (False, 9)):
            self.heads.append(await reader.readuntil(b"\r\n\r\n"))
            body = json.dumps({"version": version, "full": full, "servers": [entry("a", 1)]}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        self.heads.append(await reader.readuntil(b"\r\n\r\n"))
        self.third.set()
        await reader.read()


def discovery_requests() -> list[tuple[str, bytes]]:
    """The first requests to discovery; the port stands as PORT."""
    heads: list[bytes] = []

    async def record() -> None:
        async with DiscoveryRecorder() as discovery:
            async with gateway(config(discovery.port, None)):
                await discovery.third.wait()
            asked = dict.fromkeys(discovery.heads)  # on a machine that stalls one is asked again
            heads.extend(head.replace(b":%d\r\n" % discovery.port, b":PORT\r\n") for head in asked)

    play(record)
    return [(f"request {number}", head) for number, head in enumerate(heads, 1)]


def test_the_counter_is_called_in_the_golden_bytes() -> None:
    assert_golden(CALLS, counter_lines())


def test_discovery_is_asked_in_the_golden_bytes() -> None:
    assert_golden(DISCOVERY, escaped_lines(discovery_requests()))


def test_what_is_written_for_a_server_is_read_back_whole() -> None:
    """The golden bytes are sound RESP2: the parser of the other side finds one command in each."""
    for _, asked, safe, left in QUERIES:
        [command] = RespParser().feed(upstream_connection.encode_request(asked, safe, left))
        assert isinstance(command, list) and command[2] == asked.id.encode()
