"""Serves the simulator's text protocol: reads batches of events from stdin, writes one reply to each.

It contains no decision logic.  One process hosts many gateways ("doors" on the wire), each with its own decision engine.
A malformed line ends the process with one message on stderr; an exception in an engine is reported with DIE.
"""

from __future__ import annotations

import json
import math
import sys
from collections.abc import Callable, Iterator, Mapping
from typing import NoReturn, TextIO, TypeVar

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.policy.engine import DecisionEngine
from badgeryoke.decisions.settings_parser import parse_settings

VERDICTS = {
    "Ok": api.Verdict.OK,
    "Failed": api.Verdict.ERROR,
    "QueueFull": api.Verdict.QUEUE_FULL,
    "TimedOut": api.Verdict.TIMEOUT,
    "ConnectError": api.Verdict.CONNECT_FAILED,
    "ResetByPeer": api.Verdict.RESET,
    "Canceled": api.Verdict.CANCELLED,
    "Ignored": api.Verdict.NOT_SENT,
}
ENDPOINT_STATES = {"U": api.EndpointState.UP, "L": api.EndpointState.DRAINING, "D": api.EndpointState.GONE}
LIST_SCOPES = {
    "incr": api.ListScope.CHANGES,
    "total": api.ListScope.FULL,
    "warm_copy": api.ListScope.CACHED,
    "lost": api.ListScope.LOST,
}
REST_OF_LINE_FIELDS = ("params", "text")  # their values may contain spaces and extend to the end of the line
T = TypeVar("T")


class WireError(Exception):
    """A malformed line; the message names the field and what was expected."""


class WireFields:
    """The name=value pairs of one line; the methods raise a WireError for a value of the wrong type."""

    def __init__(self, pairs: dict[str, str]) -> None:
        self._pairs = pairs

    def text(self, name: str, default: str | None = None) -> str:
        """Return the field's value as a string."""
        value = self._pairs.get(name, default)
        if value is None:
            raise WireError(f"field {name}: missing, expected a value")
        return value

    def _parsed(self, name: str, parse: Callable[[str], T], expected: str, default: str | None) -> T:
        value = self.text(name, default)
        try:
            return parse(value)
        except ValueError:
            raise WireError(f"field {name}: expected {expected}, got {value!r}") from None

    def number(self, name: str, default: str | None = None) -> float:
        """Return a finite number."""
        value = self._parsed(name, float, "a number", default)
        if not math.isfinite(value):
            raise WireError(f"field {name}: expected a finite number, got {value!r}")
        return value

    def integer(self, name: str, default: str | None = None) -> int:
        """Return an integer."""
        return self._parsed(name, int, "a whole number", default)

    def flag(self, name: str) -> bool:
        """Return whether the field is 1; an absent field counts as 0."""
        value = self.text(name, "0")
        if value not in ("0", "1"):
            raise WireError(f"field {name}: expected 1 or 0, got {value!r}")
        return value == "1"

    def choice(self, name: str, choices: Mapping[str, T]) -> T:
        """Return what the value is mapped to in `choices`."""
        value = self.text(name)
        if value not in choices:
            raise WireError(f"field {name}: expected one of {', '.join(choices)}, got {value!r}")
        return choices[value]

    def number_list(self, name: str) -> tuple[float, ...]:
        """Return numbers separated by commas; an absent field is an empty list."""
        value = self._pairs.get(name, "")
        if value in ("", "-"):
            return ()
        return self._parsed(name, _parse_numbers, "numbers set apart by commas", None)


def _parse_numbers(text: str) -> tuple[float, ...]:
    return tuple(float(part) for part in text.split(","))


def split_line(line: str) -> tuple[str, WireFields]:
    """Split one line into its message name and its fields."""
    name, _, rest = line.partition(" ")
    pairs: dict[str, str] = {}
    while rest:
        key, found, rest = rest.partition("=")
        if not found:
            raise WireError(f"field {key}: expected name=value")
        if key in REST_OF_LINE_FIELDS:
            pairs[key] = rest
            break
        value, _, rest = rest.partition(" ")
        pairs[key] = value
    return name, WireFields(pairs)


def read_settings(text: str) -> api.Settings:
    """Parse settings from JSON; raises a ValueError that names the key, a WireError if it is no object."""
    try:
        raw = json.loads(text)
    except ValueError:
        raise WireError("field params: expected a JSON object") from None
    if not isinstance(raw, dict):
        raise WireError("field params: expected a JSON object")
    return parse_settings(raw)


def read_server(fields: WireFields) -> api.Server:
    """Return the server of a BACKEND line."""
    return api.Server(
        id=fields.integer("backend"),
        zone=fields.text("zone", ""),
        kind=fields.text("kind", ""),
        cell=fields.integer("cohort", "0"),
        state=fields.choice("condition", ENDPOINT_STATES),
        size=fields.number("size", "1"),
        started_ms=fields.number("born_ms", "0"),
    )


def read_event(name: str, fields: WireFields) -> api.Event | None:
    """Return the event of a line; None for a message that the engine does not use."""
    match name:
        case "QUERY":
            return api.Request(
                id=fields.text("rid"),
                request_class=fields.text("cls"),
                plan=fields.text("grade_of_service"),
                customer=fields.integer("caller"),
                remaining_ms=fields.number("remaining_ms"),
                units=fields.number("cost_units"),
                gateway_set_size=fields.integer("spread"),
                first_gateway=fields.integer("from_no", "0"),
                retry=fields.flag("retry"),
            )
        case "COMPLETED":
            return api.AttemptOutcome(
                id=fields.text("rid"),
                attempt=fields.integer("hop"),
                server=fields.integer("backend"),
                verdict=fields.choice("verdict", VERDICTS),
                rtt_ms=fields.number("rtt_ms", "0"),
                ended=fields.flag("ended"),
                true_units=fields.number("final_units", "0"),
                report=fields.number_list("server_stats"),
            )
        case "TOTAL":
            return api.CounterReply(
                name=fields.integer("cname"),
                verdict=fields.choice("verdict", VERDICTS),
                rtt_ms=fields.number("rtt_ms", "0"),
                total=fields.number("result_value", "0"),
            )
        case "TICK_DUE":
            return api.TimerFired(fields.integer("name"))
        case "LAPSED":
            return api.ClientDisconnected(fields.text("rid"))
        case "STARTED":
            return api.ResponseStarted(fields.text("rid"))
        case "PONG":
            return api.HealthCheckResult(
                server=fields.integer("backend"),
                verdict=fields.choice("verdict", VERDICTS),
                rtt_ms=fields.number("rtt_ms", "0"),
                report=fields.number_list("server_stats"),
            )
        case "PEER_DATA":
            return None
    raise WireError(f"message {name!r}: expected one the wire page names")


def write_action(door: str, action: api.Action) -> str:
    """Return the line for an action of a gateway."""
    match action:
        case api.SendAttempt(id=request_id, server=server, timeout_ms=timeout_ms):
            return f"HAND_OFF door={door} rid={request_id} timeout_ms={timeout_ms:.3f} backend={server}"
        case api.Reject(id=request_id, retry_after_ms=wait_ms):
            hold = f" hold_off_ms={wait_ms:.3f}" if wait_ms > 0 else ""
            return f"BOUNCE door={door} rid={request_id}{hold}"
        case api.Fail(id=request_id):
            return f"ABORT door={door} rid={request_id}"
        case api.AddToCounter(name=name, units=units, expire_ms=expire_ms):
            return f"POST_AMOUNT door={door} qty={units:.7g} cname={name} expire_in_ms={expire_ms:.3f}"
        case api.SetTimer(at_ms=at_ms, token=token):
            return f"SET_ALARM door={door} when_ms={at_ms:.3f} name={token}"
        case api.CancelAttempt(id=request_id, attempt=attempt):
            return f"UNDO_SEND door={door} rid={request_id} hop={attempt}"
        case api.CheckHealth(server=server):
            return f"SAMPLE door={door} backend={server}"
        case api.Subscribe():
            return f"LISTEN door={door} active=1"
        case api.Log(text=text):
            return f"JOURNAL_LINE door={door} text={' '.join(text.split())}"


class EngineHost:
    """The decision engines of one process, and the numbered endpoint lists that events refer to."""

    def __init__(self) -> None:
        self._engines: dict[str, DecisionEngine] = {}
        self._endpoint_lists: dict[int, tuple[api.Server, ...]] = {}

    def set_endpoint_list(self, number: int, servers: tuple[api.Server, ...]) -> None:
        """Store an endpoint list under a number, replacing an earlier one."""
        self._endpoint_lists[number] = servers

    def handle_event(self, now_ms: float, name: str, fields: WireFields) -> Iterator[str]:
        """Pass an event to the engine of its gateway; yields the lines of the resulting actions."""
        door = fields.text("door")
        if name == "DETACH":
            self._engines.pop(door, None)
            return
        try:
            if name == "UP":
                settings = read_settings(fields.text("params"))
                self._engines[door] = DecisionEngine(settings, fields.integer("init_seed"))
                return
            event = self._read_endpoint_list(fields) if name == "UPDATE" else read_event(name, fields)
            engine = self._engines.get(door)
            if engine is None or event is None:
                return
            actions = engine.handle(now_ms, event)
        except WireError:
            raise
        except Exception as error:
            yield f"DIE door={door} text={type(error).__name__}: {' '.join(str(error).split())}"
            return
        for action in actions:
            yield write_action(door, action)

    def _read_endpoint_list(self, fields: WireFields) -> api.EndpointList:
        scope = fields.choice("scope", LIST_SCOPES)
        if scope is api.ListScope.LOST:
            return api.EndpointList(scope)
        number = fields.integer("roster_id")
        if number not in self._endpoint_lists:
            raise WireError(f"field roster_id: expected the number of a TABLE sent before, got {number}")
        return api.EndpointList(scope, self._endpoint_lists[number])


class _LineReader:
    """Reads the lines of the input; keeps the number of the last one for error messages."""

    def __init__(self, source: TextIO) -> None:
        self._lines = enumerate(source, 1)
        self.number = 0

    def __iter__(self) -> Iterator[str]:
        """Iterate over the remaining lines that are not empty."""
        for number, text in self._lines:
            self.number = number
            if line := text.rstrip("\r\n"):
                yield line

    def expect(self, name: str) -> WireFields:
        """Return the fields of the next line; raises a WireError if that is not the named message."""
        self.number, text = next(self._lines, (self.number + 1, ""))
        next_name, fields = split_line(text.rstrip("\r\n"))
        if next_name != name:
            raise WireError(f"message {next_name!r}: expected {name}")
        return fields


def _read_table(host: EngineHost, lines: _LineReader, fields: WireFields) -> None:
    size, number = fields.integer("entries"), fields.integer("roster_id")
    host.set_endpoint_list(number, tuple(read_server(lines.expect("BACKEND")) for _ in range(size)))


def serve(source: TextIO, sink: TextIO) -> None:
    """Reply to batches until the input ends; raises a WireError with the line's number."""
    host, lines = EngineHost(), _LineReader(source)
    now_ms: float | None = None  # time of the current batch; None between two batches
    reply: list[str] = []
    try:
        for line in lines:
            name, fields = split_line(line)
            if name == "BATCH":
                now_ms = fields.number("t_ms")
            elif now_ms is None:
                raise WireError(f"message {name!r}: expected BATCH")
            elif name == "YOUR_TURN":
                reply.append("READY\n")
                sink.write("\n".join(reply))
                sink.flush()
                reply, now_ms = [], None
            elif name == "TABLE":
                _read_table(host, lines, fields)
            else:
                reply.extend(host.handle_event(now_ms, name, fields))
    except WireError as error:
        raise WireError(f"line {lines.number}: {error}") from None


def main() -> NoReturn:
    """Serve standard input; exits with 0 at its end and with 2 on a malformed line."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"badgeryoke: {error}", file=sys.stderr)
        sys.exit(2)
    sys.exit(0)


if __name__ == "__main__":
    main()
