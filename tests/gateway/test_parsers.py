"""Parsers of protocols and files: tables of valid and malformed input."""

from __future__ import annotations

import json
import struct
from pathlib import Path
from typing import Any

import pytest

from badgeryoke.decisions.interface import Settings
from badgeryoke.gateway.config.diameter_file import read_diameter
from badgeryoke.gateway.config.errors import ConfigError
from badgeryoke.gateway.config.platform_file import read_config
from badgeryoke.gateway.diameter import codec
from badgeryoke.gateway.diameter.duplicate_requests import DuplicateRequests, RequestIdentity
from badgeryoke.gateway.discovery.endpoint_list import read_endpoint_snapshot
from badgeryoke.gateway.discovery.http_response import HttpResponse
from badgeryoke.gateway.quota_counter.codec import encode_increment, parse_total
from badgeryoke.gateway.resp.codec import ErrorReply, RespParser, Status, bulk, command, error
from tests.decisions.test_simulator_adapter import PARAMS
from tests.support.paths import ROOT
from tests.support.stand_ins import avp, avps, ccr, entry

RESP_INPUTS = [
    (b"*2\r\n$4\r\nPING\r\n$0\r\n\r\n", [[b"PING", b""]]),
    (b"+OK\r\n-BUSY 20\r\n:-3\r\n", [Status(b"OK"), ErrorReply(b"BUSY 20"), -3]),
    (b"$-1\r\n*-1\r\n*0\r\n", [None, None, []]),
    (b"*3\r\n$1\r\na\r\n$-1\r\n*1\r\n:1\r\n", [[b"a", None, [1]]]),
    (b"$4\r\n\r\n\r\n\r\n", [b"\r\n\r\n"]),
]


@pytest.mark.parametrize(
    ("data", "values"),
    RESP_INPUTS,
    ids=[
        "commands",
        "simple strings, errors and integers",
        "null and empty",
        "nested arrays",
        "line ends in a bulk string",
    ],
)
def test_resp_values_are_parsed_however_the_input_is_split(data: bytes, values: list[Any]) -> None:
    at_once = RespParser()
    assert at_once.feed(data) == values and at_once.is_idle
    pieces = RespParser()
    parsed_in_pieces = [value for n in range(len(data)) for value in pieces.feed(data[n : n + 1])]
    assert (
        parsed_in_pieces == values
        and [type(item) for item in parsed_in_pieces] == [type(item) for item in values]
        and pieces.is_idle
    )


@pytest.mark.parametrize(
    "data",
    [
        b"PING\r\n",
        b"*x\r\n",
        b"$-2\r\n",
        b"*17\r\n",
        b"$65537\r\n",
        b"$1\r\nab\r\n",
        b":1.5\r\n",
        b"$\r\n",
        b"*1\r\n*1\r\n*1\r\n",
        b"+" + b"x" * 2000,
        b"$" + b"9" * 40 + b"\r\n",
    ],
    ids=[
        "inline command",
        "array length not a number",
        "negative bulk length",
        "too many items",
        "bulk string too long",
        "bulk string longer than stated",
        "fractional integer",
        "no bulk length",
        "nested too deep",
        "line too long",
        "bulk length too long",
    ],
)
def test_malformed_or_oversized_resp_is_a_fault(data: bytes) -> None:
    parser = RespParser()
    assert parser.feed(b"+OK\r\n" + data) == [Status(b"OK")]  # complete values before it are returned
    assert parser.fault and parser.feed(b"+OK\r\n") == []


def test_encoded_resp_parses_back() -> None:
    arguments = [b"SVC.QUERY", b"", b"\r\n"]
    assert RespParser().feed(command(arguments) + bulk(b"v") + error("ERR two\r\nlines")) == [
        arguments,
        b"v",
        ErrorReply(b"ERR two lines"),
    ]


@pytest.mark.parametrize(
    "tail",
    [
        b"",
        b"*2\r\n$1\r\n",
        b"*1\r\n:5\r\n",
        b"*1\r\n$3\r\nab",
        b"+OK\r\n",
        b"*1\r\n$-1\r\n",
    ],
    ids=[
        "nothing",
        "half an array",
        "array of an integer",
        "half a bulk string",
        "simple string",
        "array of null",
    ],
)
def test_the_fast_path_parses_commands_like_the_general_parser(tail: bytes) -> None:
    """Complete commands are parsed by a fast path of the parser."""
    data = command([b"SVC.QUERY", b"", b"\r\n$1"]) + command([b"x" * 100]) + tail
    at_once, pieces = RespParser(), RespParser()
    in_pieces = [value for n in range(len(data)) for value in pieces.feed(data[n : n + 1])]
    assert (
        at_once.feed(data) == in_pieces
        and at_once.is_idle == pieces.is_idle
        and at_once.buffered_bytes == pieces.buffered_bytes
    )
    assert at_once.feed(b"$1\r\nx\r\n" * 2) == pieces.feed(b"$1\r\nx\r\n" * 2)


@pytest.mark.parametrize(
    "data",
    [
        b"*1\r\n$4\r\nPINGxx",
        b"*01\r\n$99999\r\n",
        b"*3\r\n" + 2 * (b"$60\r\n" + b"x" * 60 + b"\r\n"),
        b"*1\r\n$ 1\r\na\r\n",
    ],
    ids=[
        "no line end after a bulk string",
        "leading zero, then too long",
        "total too long",
        "space in a length",
    ],
)
def test_the_fast_path_has_the_same_bounds(data: bytes) -> None:
    parser = RespParser(max_array_bytes=100)
    assert parser.feed(data) == [] and parser.fault


BODY = b'{"version":1}'
HTTP_RESPONSES = [
    (b"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n" + BODY, True),
    (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\n"
        + BODY[:4]
        + b"\r\n9;x=1\r\n"
        + BODY[4:]
        + b"\r\n0\r\n\r\n",
        True,
    ),
    (b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 13\r\n\r\n" + BODY, False),
    (b"HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n" + BODY, True),
]


@pytest.mark.parametrize(
    ("data", "keep_alive"),
    HTTP_RESPONSES,
    ids=["content length", "chunked", "connection close", "1xx first"],
)
def test_an_http_response_is_parsed_however_the_input_is_split(data: bytes, keep_alive: bool) -> None:
    response = HttpResponse()
    assert [response.feed(data[n : n + 1]) for n in range(len(data))] == [False] * (len(data) - 1) + [True]
    assert (response.status, bytes(response.body), response.keep_alive) == (200, BODY, keep_alive)


@pytest.mark.parametrize(
    "data",
    [
        b"ICY 200\r\n\r\n",
        b"HTTP/1.1 503 Service Unavailable\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        b"x" * 20_000,
        b"HTTP/1.1 200 OK\r\n" + b"A: b\r\n" * 20_000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
    ids=[
        "not HTTP",
        "503",
        "negative length",
        "length too large",
        "endless status line",
        "header too large",
        "malformed chunk size",
    ],
)
def test_a_malformed_http_response_raises(data: bytes) -> None:
    with pytest.raises(ValueError):
        HttpResponse().feed(data)


@pytest.mark.parametrize(
    "raw",
    [
        None,
        [],
        {},
        {"servers": [1]},
        {"servers": [{"id": 1}]},
        {"servers": [{**entry("a", 1), "state": "odd"}]},
        {"servers": [{**entry("a", 1), "addr": "nowhere"}]},
        {"servers": [{**entry("a", 1), "weight": "x"}]},
        {"servers": [{**entry("a", 1), "state": []}]},
        {"servers": [{**entry("a", 1), "started_ms": True}]},
        {"version": "1", "servers": []},
        # Numbers beyond a float's range, and host names, whose resolution would block the event loop.
        {"servers": [{**entry("a", 1), "weight": 10**400}]},
        {"servers": [{**entry("a", 1), "addr": "runner:80"}]},
        {"servers": [{**entry("a", 1), "addr": "a\0b:80"}]},
        {"servers": [{**entry("a", 1), "addr": "127.0.0.1:\u0663"}]},
    ],
    ids=[
        "null",
        "list",
        "no servers",
        "entry not an object",
        "id not a string",
        "unknown state",
        "address without a port",
        "weight not a number",
        "state not a string",
        "started_ms a boolean",
        "version a string",
        "weight beyond a float",
        "host name",
        "null byte in an address",
        "port not ASCII",
    ],
)
def test_a_malformed_endpoint_list_raises(raw: Any) -> None:
    with pytest.raises(ValueError):
        read_endpoint_snapshot(raw)


@pytest.mark.parametrize(
    ("reply", "total"),
    [(b"12.5", 12.5), (b"-3", -3.0), (b"nan", None), (b"x", None), (7, None), (ErrorReply(b"BUSY"), None)],
    ids=["fraction", "negative", "not a number", "text", "integer reply", "error reply"],
)
def test_a_total_is_a_finite_number_in_a_bulk_string(reply: Any, total: float | None) -> None:
    assert parse_total(reply) == total


def test_an_increment_bounds_its_ttl() -> None:
    assert RespParser().feed(encode_increment(7, -2.5, 1e6) + encode_increment(7, 0.0, 0.0)) == [
        [b"INCRTTL", b"7", b"-2.5", b"60000"],
        [b"INCRTTL", b"7", b"0", b"1"],
    ]


def test_diameter_messages_are_framed_however_the_input_is_split() -> None:
    data = ccr(7) + ccr(8, number=1)
    framer = codec.Framer()
    messages = [message for n in range(len(data)) for message in framer.feed(data[n : n + 1])]
    assert (
        [message.end_to_end_id for message in messages] == [7, 8]
        and not framer.has_partial_message
        and framer.fault is None
    )
    assert b"".join(message.encode() for message in messages) == data


@pytest.mark.parametrize(
    ("body", "result_code"),
    [
        (b"\0" * 4, 5014),
        (struct.pack(">II", 1, 7), 5014),
        (struct.pack(">II", 1, 100), 5014),
        (struct.pack(">II", 1, 0x80 << 24 | 8), 5014),
        (avp(1, b"") * 200, 5012),
    ],
    ids=[
        "too short",
        "length below the header",
        "length beyond the data",
        "vendor flag without a vendor",
        "too many",
    ],
)
def test_malformed_avps_are_a_fault_with_a_result_code(body: bytes, result_code: int) -> None:
    fault = codec.read_avps(body)
    assert isinstance(fault, codec.Fault) and fault.result_code == result_code


def test_avps_are_padded_and_read_back() -> None:
    sample_avps = [
        codec.text_avp(263, "abc"),
        codec.Avp(7, b"\1\2\3\4\5", 0, 10415),
        codec.units_avp(437, 3),
    ]
    data = codec.encode_avps(sample_avps)
    assert codec.read_avps(data) == sample_avps and len(data) % 4 == 0
    assert avps(data)[263] == b"abc" and codec.read_units(sample_avps[2]) == 3


def test_the_idempotency_key_derives_from_the_complete_request_identity_alone() -> None:
    identity = RequestIdentity("h", 1, "s", 0)
    others = [
        RequestIdentity("h2", 1, "s", 0),
        RequestIdentity("h", 2, "s", 0),
        RequestIdentity("h", 1, "t", 0),
        RequestIdentity("h", 1, "s", 1),
        RequestIdentity("h1", 1, "s", 0),
    ]
    assert (
        identity.idempotency_key() == RequestIdentity("h", 1, "s", 0).idempotency_key() == "47218e1462e4d40f"
    )
    assert len({identity.idempotency_key(), *(other.idempotency_key() for other in others)}) == 6


def test_responses_are_cached_until_they_expire_and_within_bounds() -> None:
    now = [0.0]
    duplicates = DuplicateRequests(240.0, lambda: now[0], max_requests=1)
    from badgeryoke.gateway.responses import Failed

    first = RequestIdentity("h", 1, "s", 0)
    cached = duplicates.begin(first)
    # A second request finds the register full.
    assert cached is not None and duplicates.begin(RequestIdentity("h", 2, "t", 0)) is None
    duplicates.end(cached, Failed("x"), keep=True)
    now[0] = 239.0
    assert duplicates.find(first) is cached
    now[0] = 241.0
    assert duplicates.find(first) is None and duplicates.begin(first) is not None


VALID_CONFIG: dict[str, Any] = {
    "name": "n3",
    "listen": "127.0.0.1:6379",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f",
    "counter": "127.0.0.1:1",
    "limits": {"sockets": 512},
    "known": {"version": 1, "full": True, "servers": [entry("a", 1)]},
    "settings": PARAMS,
}


def write_config(tmp_path: Path, raw: Any, diameter: str = "") -> dict[str, str]:
    (tmp_path / "config.json").write_text(raw if isinstance(raw, str) else json.dumps(raw))
    (tmp_path / "deploy").mkdir()
    if diameter:
        (tmp_path / "deploy" / "diameter.toml").write_text(diameter)
    return {"LB_CONFIG": str(tmp_path / "config.json")}


def test_configuration_is_read_with_its_defaults(tmp_path: Path) -> None:
    parsed = read_config({**write_config(tmp_path, VALID_CONFIG), "LB_LISTEN": "127.0.0.2:1"}, tmp_path)
    assert parsed.listen == ("127.0.0.2", 1) and parsed.seed == 0x8C1F and parsed.sockets == 512
    assert parsed.connect_ms == 250 and parsed.diameter is None
    assert parsed.known is not None and parsed.known.endpoints[0].id == "a"


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"listen": "x"}, "LB_LISTEN"),
        ({"discovery": None}, "LB_DISCOVERY"),
        ({"counter": None}, "counter"),
        ({"counter": "a:b"}, "counter"),
        ({"counter": "localhost:80"}, "counter: expected IP:PORT"),
        ({"seed": "xyz"}, "seed"),
        ({"limits": 3}, "limits"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        ({"known": {"servers": 1}}, "known.servers"),
        ({"known": {"servers": [{**entry("a", 1), "addr": "x"}]}}, "known.servers: addr: expected IP:PORT"),
        ({"known": {"version": 10**400, "servers": []}}, "known.version"),
        ({"settings": None}, "settings"),
        ({"settings": {**PARAMS, "me": None}}, "setting me: expected a number"),
        ({"settings": {k: v for k, v in PARAMS.items() if k != "rules"}}, "rules"),
        (
            {"settings": {**PARAMS, "policy_limits": {**PARAMS["policy_limits"], "conn_idle_ms": 0}}},
            "setting policy_limits.conn_idle_ms",
        ),
    ],
    ids=[
        "listen",
        "discovery",
        "counter missing",
        "counter not an address",
        "counter with a host name",
        "seed",
        "limits",
        "sockets",
        "known",
        "known address",
        "known version",
        "settings",
        "settings.me",
        "settings without rules",
        "conn_idle_ms",
    ],
)
def test_invalid_configuration_names_its_key(change: dict[str, Any], key: str, tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match=key):
        read_config(write_config(tmp_path, {**VALID_CONFIG, **change}), tmp_path)


def test_configuration_that_is_not_json_raises(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match="LB_CONFIG"):
        read_config({}, tmp_path)
    with pytest.raises(ConfigError, match="LB_CONFIG"):
        read_config(write_config(tmp_path, "{"), tmp_path)


ENABLED_DIAMETER = 'enabled = true\norigin_host = "g.example"\norigin_realm = "example"\n'


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("enabled = 1", "enabled"),
        ("enabled = true", "origin_host"),
        (ENABLED_DIAMETER + 'listen = "x"', "listen"),
        (ENABLED_DIAMETER + 'listen = "192.0.2.1:3868"', "listen"),
        (ENABLED_DIAMETER + 'clients = "a"', "clients"),
        (ENABLED_DIAMETER + "watchdog_s = 1", "watchdog_s"),
        (ENABLED_DIAMETER + '[plans]\nx = "plain"', "plans.x"),
        (ENABLED_DIAMETER + '[plans]\n1 = "gold"', "plans.1"),
        ("enabled", "diameter.toml"),
        (ENABLED_DIAMETER + "[plans]\n1 = 1", "plans.1"),
        (ENABLED_DIAMETER + '[classes]\ncheck = "gold"', "classes.check"),
        (ENABLED_DIAMETER + '[classes]\ndebit = "read"', "classes.debit"),
        (ENABLED_DIAMETER + '[classes]\npay = "read"', "classes.pay"),
        (ENABLED_DIAMETER + "[classes]\ncheck = []", "classes.check"),
    ],
    ids=[
        "enabled not a boolean",
        "no origin host",
        "listen not an address",
        "listen address not a loopback address",
        "clients not a list",
        "watchdog too short",
        "plan key not a number",
        "unknown plan",
        "not TOML",
        "plan not a string",
        "check class unknown",
        "debit class idempotent",
        "unknown class key",
        "class not a string",
    ],
)
def test_an_invalid_diameter_file_names_its_key(text: str, key: str, tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match=key):
        read_config(write_config(tmp_path, VALID_CONFIG, text), tmp_path)


def test_the_diameter_file_enables_diameter(tmp_path: Path) -> None:
    text = ENABLED_DIAMETER + 'listen = "127.0.0.1:3868"\n[plans]\n1 = "plain"\n[classes]\ncheck = "read"'
    parsed = read_config(write_config(tmp_path, VALID_CONFIG, text), tmp_path)
    assert parsed.diameter is not None and parsed.diameter.plans == {1: "plain"}
    assert parsed.diameter.listen == ("127.0.0.1", 3868) and parsed.diameter.check_class == "read"
    # As `badgeryoke check` reads the file.
    file_alone = read_diameter(tmp_path / "deploy/diameter.toml", Settings(0, 1, "", 1.0, (), ()))
    assert file_alone == parsed.diameter


def test_the_diameter_file_in_the_repository_is_disabled_and_valid(tmp_path: Path) -> None:
    text = (ROOT / "deploy/diameter.toml").read_text()
    # The file is disabled and has no plans of any site.
    assert read_config(write_config(tmp_path, VALID_CONFIG, text), tmp_path).diameter is None
    (tmp_path / "deploy/diameter.toml").write_text(text.replace("enabled = false", "enabled = true"))
    assert read_config({"LB_CONFIG": str(tmp_path / "config.json")}, tmp_path).diameter is not None
