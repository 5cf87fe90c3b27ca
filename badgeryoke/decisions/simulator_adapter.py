"""Hosts gateway instances on the text wire: reads batches from stdin, writes one reply to each.

Only translation happens here.  Instances share nothing; a malformed line ends the process with one plain
message on stderr, and an exception in the module is declared with DIE.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from typing import Any, NoReturn, TextIO

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.policy.engine import DecisionEngine
from badgeryoke.decisions.settings_parser import settings_from

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
STATES = {"U": api.EndpointState.UP, "L": api.EndpointState.DRAINING, "D": api.EndpointState.GONE}
SCOPES = {
    "incr": api.ListScope.CHANGES,
    "total": api.ListScope.FULL,
    "warm_copy": api.ListScope.CACHED,
    "lost": api.ListScope.LOST,
}
LAST_FIELDS = ("params", "text")


class WireError(Exception):
    """A line of the wire that cannot be read: says which field and what was expected."""


class Fields:
    """The name=value pairs of one line, read with their forms checked."""

    def __init__(self, pairs: dict[str, str]) -> None:
        self._pairs = pairs

    def text(self, name: str, default: str | None = None) -> str:
        """The field as written."""
        value = self._pairs.get(name, default)
        if value is None:
            raise WireError(f"field {name}: missing, expected a value")
        return value

    def _as(self, name: str, form: Callable[[str], Any], expected: str, default: str | None) -> Any:
        value = self.text(name, default)
        try:
            return form(value)
        except ValueError:
            raise WireError(f"field {name}: expected {expected}, got {value!r}") from None

    def number(self, name: str, default: str | None = None) -> float:
        """A finite number with an optional fraction."""
        value = float(self._as(name, float, "a number", default))
        if value != value or value in (float("inf"), float("-inf")):
            raise WireError(f"field {name}: expected a finite number, got {value!r}")
        return value

    def integer(self, name: str, default: str | None = None) -> int:
        """A whole number."""
        return int(self._as(name, int, "a whole number", default))

    def flag(self, name: str) -> bool:
        """1 or 0; absent is 0."""
        value = self.text(name, "0")
        if value not in ("0", "1"):
            raise WireError(f"field {name}: expected 1 or 0, got {value!r}")
        return value == "1"

    def choice(self, name: str, table: dict[str, Any]) -> Any:
        """One of the words in a table."""
        value = self.text(name)
        if value not in table:
            raise WireError(f"field {name}: expected one of {', '.join(table)}, got {value!r}")
        return table[value]

    def row(self, name: str) -> tuple[float, ...]:
        """Numbers set apart by commas; absent is empty."""
        value = self._pairs.get(name, "")
        if value in ("", "-"):
            return ()
        return tuple(
            self._as(
                name,
                lambda text: [float(part) for part in text.split(",")],
                "numbers set apart by commas",
                None,
            )
        )


def split_line(line: str) -> tuple[str, Fields]:
    """Split one line into its message name and its fields."""
    name, _, rest = line.partition(" ")
    pairs: dict[str, str] = {}
    while rest:
        key, found, rest = rest.partition("=")
        if not found:
            raise WireError(f"field {key}: expected name=value")
        if key in LAST_FIELDS:
            pairs[key] = rest
            break
        value, _, rest = rest.partition(" ")
        pairs[key] = value
    return name, Fields(pairs)


def read_settings(text: str) -> api.Settings:
    """The settings in a field's JSON text; raises ValueError naming the key."""
    try:
        raw = json.loads(text)
    except ValueError:
        raise WireError("field params: expected a JSON object") from None
    if not isinstance(raw, dict):
        raise WireError("field params: expected a JSON object")
    return settings_from(raw)


def read_server(fields: Fields) -> api.Server:
    """One BACKEND line."""
    return api.Server(
        id=fields.integer("backend"),
        zone=fields.text("zone", ""),
        kind=fields.text("kind", ""),
        cell=fields.integer("cohort", "0"),
        state=fields.choice("condition", STATES),
        size=fields.number("size", "1"),
        started_ms=fields.number("born_ms", "0"),
    )


def read_event(name: str, fields: Fields) -> api.Event | None:
    """One event line; None for a message this project has no use for."""
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
                report=fields.row("server_stats"),
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
                report=fields.row("server_stats"),
            )
        case "PEER_DATA":
            return None
    raise WireError(f"message {name!r}: expected one the wire page names")


def write_action(door: str, action: api.Action) -> str:
    """One action as a line of the wire."""
    match action:
        case api.SendAttempt(id=rid, server=server, timeout_ms=timeout_ms):
            return f"HAND_OFF door={door} rid={rid} timeout_ms={timeout_ms:.3f} backend={server}"
        case api.Reject(id=rid, retry_after_ms=wait_ms):
            hold = f" hold_off_ms={wait_ms:.3f}" if wait_ms > 0 else ""
            return f"BOUNCE door={door} rid={rid}{hold}"
        case api.Fail(id=rid):
            return f"ABORT door={door} rid={rid}"
        case api.AddToCounter(name=name, units=units, expire_ms=expire_ms):
            return f"POST_AMOUNT door={door} qty={units:.7g} cname={name} expire_in_ms={expire_ms:.3f}"
        case api.SetTimer(at_ms=at_ms, token=token):
            return f"SET_ALARM door={door} when_ms={at_ms:.3f} name={token}"
        case api.CancelAttempt(id=rid, attempt=attempt):
            return f"UNDO_SEND door={door} rid={rid} hop={attempt}"
        case api.CheckHealth(server=server):
            return f"SAMPLE door={door} backend={server}"
        case api.Subscribe():
            return f"LISTEN door={door} active=1"
        case api.Log(text=text):
            return f"JOURNAL_LINE door={door} text={' '.join(text.split())}"


class Host:
    """The instances of one process and the numbered lists they refer to."""

    def __init__(self) -> None:
        self._doors: dict[str, DecisionEngine] = {}
        self._rosters: dict[int, tuple[api.Server, ...]] = {}

    def roster(self, number: int, servers: tuple[api.Server, ...]) -> None:
        """Keep a numbered list until the number is used again."""
        self._rosters[number] = servers

    def event(self, now_ms: float, name: str, fields: Fields) -> Iterator[str]:
        """Give one event to its instance and yield the lines of its actions."""
        door = fields.text("door")
        if name == "DETACH":
            self._doors.pop(door, None)
            return
        try:
            if name == "UP":
                self._doors[door] = DecisionEngine(
                    read_settings(fields.text("params")), fields.integer("init_seed")
                )
                return
            event: api.Event | None
            if name == "UPDATE":
                scope = fields.choice("scope", SCOPES)
                event = api.EndpointList(scope, () if scope is api.ListScope.LOST else self._listed(fields))
            else:
                event = read_event(name, fields)
            gateway = self._doors.get(door)
            if gateway is None or event is None:
                return
            actions = gateway.handle(now_ms, event)
        except WireError:
            raise
        except Exception as error:
            yield f"DIE door={door} text={type(error).__name__}: {' '.join(str(error).split())}"
            return
        for action in actions:
            yield write_action(door, action)

    def _listed(self, fields: Fields) -> tuple[api.Server, ...]:
        number = fields.integer("roster_id")
        if number not in self._rosters:
            raise WireError(f"field roster_id: expected the number of a TABLE sent before, got {number}")
        return self._rosters[number]


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends; raises WireError with the line's number."""
    host = Host()
    lines = enumerate(source, 1)
    now_ms: float | None = None
    reply: list[str] = []
    number = 0

    def take(expected: str) -> tuple[str, Fields]:
        nonlocal number
        number, text = next(lines, (number + 1, ""))
        name, fields = split_line(text.rstrip("\r\n"))
        if name != expected:
            raise WireError(f"message {name!r}: expected {expected}")
        return name, fields

    try:
        for at, text in lines:
            number = at
            line = text.rstrip("\r\n")
            if not line:
                continue
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
                size = fields.integer("entries")
                table = fields.integer("roster_id")
                host.roster(table, tuple(read_server(take("BACKEND")[1]) for _ in range(size)))
            else:
                reply.extend(host.event(now_ms, name, fields))
    except WireError as error:
        raise WireError(f"line {number}: {error}") from None


def main() -> NoReturn:
    """Serve standard input; 0 at its end, 2 on a malformed line."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"badgeryoke: {error}", file=sys.stderr)
        sys.exit(2)
    sys.exit(0)


if __name__ == "__main__":
    main()
