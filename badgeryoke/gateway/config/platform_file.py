"""The one place where configuration is read, checked and given defaults: environment, JSON, deploy/ file."""

from __future__ import annotations

import ipaddress
import logging
import os
import socket
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import ujson

from badgeryoke.decisions.interface import Idempotency, Settings
from badgeryoke.decisions.settings_parser import SettingsReader, parse_settings, unknown_keys
from badgeryoke.gateway.address import parse_address
from badgeryoke.gateway.config.operators_file import NAME, Operators, OperatorsError, read_operators
from badgeryoke.gateway.discovery.endpoint_list import EndpointSnapshot, read_endpoint_snapshot

log = logging.getLogger(__name__)

Address = tuple[str, int]
MOST_CONFIG = 16 * 1024 * 1024
MOST_TOLD = 20  # unknown keys named in one line
# The front goes on opening connections for 0.2 to 0.4 s after a SIGTERM (protocol page, at any site); these,
# and what is asked on them, are still taken.
DRAIN_S = 0.45
REPORTED = {"answers": True, "probe": False, "none": False}  # whether answers carry load reports


class ConfigError(Exception):
    """Configuration that cannot be used: names the faulty key."""


# The keys of an object, with what stands under each; None for what is no object.  Of a list of objects, the
# keys that all of them have.
Shape = Mapping[str, "Shape"] | None
MAY_GO = frozenset({"known", "seed", "mgmt", "aim_stretch"})  # a file may lack these though the last had them


def shape(value: object) -> Shape:
    """The keys that a file read later must have as well."""
    if isinstance(value, dict):
        return {key: shape(inner) for key, inner in value.items() if key not in MAY_GO}
    if isinstance(value, list) and value and all(isinstance(entry, dict) for entry in value):
        common = set.intersection(*(set(entry) for entry in value))
        return {key: shape(value[0][key]) for key in sorted(common - MAY_GO)}
    return None


def lacking(old: Shape, new: Shape, path: str = "") -> str | None:
    """The first key of the old file that the new one lacks."""
    for key, inner in (old or {}).items():
        if new is None or key not in new:
            return path + key
        if (found := lacking(inner, new[key], f"{path}{key}.")) is not None:
            return found
    return None


@dataclass(frozen=True, slots=True)
class DiameterConfig:
    """The second front and the Diameter servers, as deploy/diameter.toml gives them."""

    listen: Address | None
    origin_host: str
    origin_realm: str
    plans: Mapping[int, str]  # Service-Identifier -> plan
    server_kinds: frozenset[str]  # discovery's kinds whose machines speak Diameter
    clients: frozenset[str]  # Origin-Hosts let in; empty: all
    deadline_ms: float  # how long a client waits for a CCA (its Tx timer); 0: the class's deadline
    watchdog_s: float
    answers_kept_s: float
    # of a CHECK_BALANCE; None: the first of the settings that is safe to repeat
    check_class: str | None = None
    debit_class: str | None = None  # of a DIRECT_DEBITING; None: the first that takes a key


@dataclass(frozen=True, slots=True)
class Config:
    """All that a gateway is told."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    sockets: int
    memory_mb: float
    known: EndpointSnapshot | None
    settings: Settings
    report_names: tuple[str, ...]  # the load report's fields as the wire names them
    connect_ms: float
    idle_ms: float
    drain_s: float  # from SIGTERM or PAUSE until connections are closed: the front must have turned away
    mgmt: Address | None = None  # the operators' address; None: nothing listens
    folder: str | None = None  # that both processes of a replacement share, where the socket is inherited
    shape: Shape = None  # the keys of the file
    socket_fd: int | None = None  # the clients' listening socket, held by the platform
    diameter: DiameterConfig | None = field(default=None)
    operators: Operators = field(default_factory=Operators)


def _address(key: str, value: object) -> Address:
    try:
        return parse_address(str(value))
    except ValueError as fault:
        raise ConfigError(f"{key}: {fault}") from None


def _number(
    key: str, table: Mapping[str, Any], name: str, default: float, least: float, most: float = 1e12
) -> float:
    value = table.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
        raise ConfigError(f"{key}.{name}: expected a number from {least:g} to {most:g}, got {value!r}")
    return float(value)


def _table(key: str, value: object) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise ConfigError(f"{key}: expected an object")
    return value


def _report_names(feedback: SettingsReader) -> tuple[str, ...]:
    """The fields of the load reports that come with answers."""
    fields = feedback.raw_value("fields")
    if not isinstance(fields, list) or not all(isinstance(name, str) for name in fields):
        raise ValueError(f"setting feedback.fields: expected a list of names, got {repr(fields)[:64]}")
    return tuple(fields) if feedback.choice("how", REPORTED) else ()


def _listening(value: str | None) -> int | None:
    """The descriptor of an inherited listening socket."""
    if not value:
        return None
    try:
        with socket.socket(fileno=os.dup(int(value))) as held:
            listens = held.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            if held.type != socket.SOCK_STREAM or not listens:
                raise ValueError
    except (ValueError, OSError, OverflowError):
        raise ConfigError(f"LB_SOCKET_FD: {value[:32]!r} is no listening TCP socket") from None
    return int(value)


def read_config(environ: Mapping[str, str], root: Path, again: bool = False) -> Config:
    """Read everything; raises ConfigError.

    At the start a variable goes before the same key in the file.  Read again, the file does: what is new can
    only stand there, since a process keeps the environment it was started with.
    """
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG: not set")
    try:
        text = Path(path).read_bytes()[:MOST_CONFIG]
        raw = _table("LB_CONFIG", ujson.loads(text))
    except OSError as fault:
        raise ConfigError(f"LB_CONFIG: {fault.strerror}") from None
    except ValueError:
        raise ConfigError("LB_CONFIG: not JSON") from None
    settings_raw = _table("settings", raw.get("settings"))
    try:
        settings = parse_settings(settings_raw)
        reader = SettingsReader(settings_raw)
        limits_told = reader.section("policy_limits")
        connect_ms = limits_told.number("dial_timeout_ms", least=1.0)
        idle_ms = limits_told.number("conn_idle_ms", least=1.0)
        report_names = _report_names(reader.section("feedback"))
    except ValueError as fault:
        raise ConfigError(str(fault)) from None
    if strange := unknown_keys(settings_raw):
        log.warning(
            "settings unknown to this program: %s", ", ".join(key[:64] for key in strange[:MOST_TOLD])
        )
    try:
        seed = int(str(raw.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError("seed: expected hex digits") from None
    known = None
    if raw.get("known") is not None:
        try:
            known = read_endpoint_snapshot(raw["known"])
        except ValueError as fault:
            raise ConfigError(f"known.{fault}") from None
    try:
        operators = read_operators(root / "deploy" / NAME)
    except OperatorsError as fault:
        raise ConfigError(str(fault)) from None
    if operators.counter_watch.enabled and not settings.has_counter:
        raise ConfigError(f"{NAME}: counter_watch.enabled: the settings give no counter to watch")
    limits = _table("limits", raw.get("limits", {}))
    counter = raw.get("counter")
    if settings.has_counter and not counter:
        raise ConfigError("counter: missing, though settings.family_info.has_counter is set")
    listen = _address("LB_LISTEN", environ.get("LB_LISTEN") or raw.get("listen"))
    mgmt = None
    if told := environ.get("LB_MGMT") or raw.get("mgmt"):
        key = "LB_MGMT" if environ.get("LB_MGMT") else "mgmt"
        mgmt = _address(key, told)
        if mgmt == listen:
            raise ConfigError(f"{key}: the same address as listen")
    return Config(
        name=environ.get("LB_NAME") or str(raw.get("name", "")),
        listen=listen,
        discovery=(
            _address("discovery", raw["discovery"])
            if again and raw.get("discovery")
            else _address("LB_DISCOVERY", environ.get("LB_DISCOVERY") or raw.get("discovery"))
        ),
        counter=_address("counter", counter) if counter else None,
        seed=seed,
        sockets=int(_number("limits", limits, "sockets", 1024, 64)),
        memory_mb=_number("limits", limits, "memory_mb", 192, 16),
        known=known,
        settings=settings,
        report_names=report_names,
        connect_ms=connect_ms,
        idle_ms=idle_ms,
        drain_s=DRAIN_S,
        diameter=read_diameter(root / "deploy" / "diameter.toml", settings),
        operators=operators,
        mgmt=mgmt,
        shape=shape(raw),
        socket_fd=_listening(environ.get("LB_SOCKET_FD")),
        folder=environ.get("TMPDIR") if environ.get("LB_SOCKET_FD") else None,
    )


def read_diameter(path: Path, settings: Settings) -> DiameterConfig | None:
    """The deploy/ file; None where there is none or where it does not turn the front on.  Its names are
    held against the settings, but where these have no classes and no plans: then the file is looked at by
    itself."""
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as fault:
        raise ConfigError(f"{path.name}: {fault}") from None
    name = path.name
    enabled = raw.get("enabled", False)
    if not isinstance(enabled, bool):
        raise ConfigError(f"{name}: enabled: expected true or false")
    if not enabled:
        return None
    words: dict[str, str] = {}
    for key in ("origin_host", "origin_realm"):
        value = raw.get(key)
        if not isinstance(value, str) or not value or not value.isascii() or len(value) > 255:
            raise ConfigError(f"{name}: {key}: expected a DiameterIdentity")
        words[key] = value
    listen = _address(f"{name}: listen", raw["listen"]) if "listen" in raw else None
    if listen is not None:
        try:
            loopback = ipaddress.ip_address(listen[0]).is_loopback or bool(raw.get("beyond_loopback", False))
        except ValueError:
            raise ConfigError(f"{name}: listen: expected an IP address") from None
        if not loopback:
            raise ConfigError(f"{name}: listen: not a loopback address, and beyond_loopback is not set")
    known = {plan.name for plan in settings.plans}
    plans: dict[int, str] = {}
    for key, plan in _table(f"{name}: plans", raw.get("plans", {})).items():
        if not key.isdigit() or not isinstance(plan, str) or (known and plan not in known):
            raise ConfigError(f"{name}: plans.{key}: expected Service-Identifier = a plan of the settings")
        plans[int(key)] = plan
    chosen: dict[str, str | None] = {"check": None, "debit": None}
    for key, value in _table(f"{name}: classes", raw.get("classes", {})).items():
        effect = Idempotency.IDEMPOTENT if key == "check" else Idempotency.WITH_KEY
        if (
            key not in chosen
            or not isinstance(value, str)
            or (
                settings.classes
                and all((cls.name, cls.idempotency) != (value, effect) for cls in settings.classes)
            )
        ):
            raise ConfigError(
                f"{name}: classes.{key}: expected check = a class that is safe to repeat, or debit = one "
                f"that takes a key"
            )
        chosen[key] = value
    lists: dict[str, frozenset[str]] = {}
    for key in ("server_kinds", "clients"):
        value = raw.get(key, [])
        if not isinstance(value, list) or not all(isinstance(word, str) for word in value):
            raise ConfigError(f"{name}: {key}: expected a list of words")
        lists[key] = frozenset(value)
    return DiameterConfig(
        listen=listen,
        origin_host=words["origin_host"],
        origin_realm=words["origin_realm"],
        plans=plans,
        server_kinds=lists["server_kinds"],
        clients=lists["clients"],
        deadline_ms=_number(name, raw, "deadline_ms", 0, 0),
        watchdog_s=_number(name, raw, "watchdog_s", 30, 6),
        answers_kept_s=_number(name, raw, "answers_kept_s", 240, 1),
        check_class=chosen["check"],
        debit_class=chosen["debit"],
    )
