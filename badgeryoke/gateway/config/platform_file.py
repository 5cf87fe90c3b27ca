"""Reads the configuration of a gateway from the environment, the platform's JSON file and the operators' files."""

from __future__ import annotations

import logging
import os
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import ujson

from badgeryoke.decisions.interface import Settings
from badgeryoke.decisions.settings_parser import SettingsReader, parse_settings, unknown_keys
from badgeryoke.gateway.address import Address
from badgeryoke.gateway.config.diameter_file import DIAMETER_FILE, read_diameter
from badgeryoke.gateway.config.errors import ConfigError
from badgeryoke.gateway.config.file_shape import shape_of
from badgeryoke.gateway.config.model import Config
from badgeryoke.gateway.config.operators_file import (
    OPERATORS_FILE,
    Operators,
    OperatorsError,
    read_operators,
)
from badgeryoke.gateway.config.values import read_address, read_number, read_table
from badgeryoke.gateway.discovery.endpoint_list import EndpointSnapshot, read_endpoint_snapshot

log = logging.getLogger(__name__)

DEPLOY_FOLDER = "deploy"
MAX_FILE_BYTES = 16 * 1024 * 1024
MAX_LOGGED_KEYS, MAX_LOGGED_KEY_CHARACTERS = 20, 64  # limits for the log line on unknown settings
MAX_SHOWN_CHARACTERS = 64  # length to which error messages cut a malformed setting
MAX_SHOWN_DESCRIPTOR_CHARACTERS = 32  # length to which error messages cut a malformed LB_SOCKET_FD
# The platform's load balancer opens new connections until 0.2 to 0.4 s after a SIGTERM; these and their requests are
# still accepted.
DRAIN_S = 0.45
DEFAULT_SOCKETS, MIN_SOCKETS = 1024, 64
DEFAULT_MEMORY_MB, MIN_MEMORY_MB = 192, 16
MIN_CONNECT_MS = MIN_IDLE_MS = 1.0
# Whether answers carry load reports, for each value of the setting feedback.how.
LOAD_REPORTS = {"answers": True, "probe": False, "none": False}


@dataclass(frozen=True, slots=True)
class _SettingsSection:
    """The settings of the decision engine, and those that only the gateway uses."""

    settings: Settings
    connect_ms: float
    idle_ms: float
    report_names: tuple[str, ...]


def read_config(environ: Mapping[str, str], root: Path, is_reload: bool = False) -> Config:
    """Read and validate the whole configuration; raises ConfigError.

    `root` is the folder that contains deploy/.  At startup, an environment variable takes precedence over the
    same key of the file.  With `is_reload`, the file takes precedence for `discovery`: the environment of a
    running process does not change, so a new value can only be in the file.
    """
    raw = _read_platform_file(environ)
    section = _read_settings(raw)
    settings = section.settings
    seed = _read_seed(raw)
    cached_endpoints = _read_cached_endpoints(raw)
    operators = _read_operators(root, settings)
    limits = read_table("limits", raw.get("limits", {}))
    counter_address = raw.get("counter")
    if settings.has_counter and not counter_address:
        raise ConfigError("counter: missing, though settings.family_info.has_counter is set")
    listen = read_address("LB_LISTEN", environ.get("LB_LISTEN") or raw.get("listen"))
    mgmt = _read_admin_address(environ, raw, listen)
    return Config(
        name=environ.get("LB_NAME") or str(raw.get("name", "")),
        listen=listen,
        discovery=_read_discovery(environ, raw, is_reload),
        counter=read_address("counter", counter_address) if counter_address else None,
        seed=seed,
        sockets=int(read_number("limits", limits, "sockets", DEFAULT_SOCKETS, MIN_SOCKETS)),
        memory_mb=read_number("limits", limits, "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB),
        known=cached_endpoints,
        settings=settings,
        report_names=section.report_names,
        connect_ms=section.connect_ms,
        idle_ms=section.idle_ms,
        drain_s=DRAIN_S,
        diameter=read_diameter(root / DEPLOY_FOLDER / DIAMETER_FILE, settings),
        operators=operators,
        mgmt=mgmt,
        file_shape=shape_of(raw),
        socket_fd=_read_socket_fd(environ.get("LB_SOCKET_FD")),
        folder=environ.get("TMPDIR") if environ.get("LB_SOCKET_FD") else None,
    )


def _read_platform_file(environ: Mapping[str, str]) -> dict[str, Any]:
    """Parse the JSON file; the values are Any because they are not validated yet."""
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG: not set")
    try:
        content = Path(path).read_bytes()[:MAX_FILE_BYTES]
        return read_table("LB_CONFIG", ujson.loads(content))
    except OSError as error:
        raise ConfigError(f"LB_CONFIG: {error.strerror}") from None
    except ValueError:
        raise ConfigError("LB_CONFIG: not JSON") from None


def _read_settings(raw: Mapping[str, object]) -> _SettingsSection:
    table = read_table("settings", raw.get("settings"))
    try:
        settings = parse_settings(table)
        reader = SettingsReader(table)
        policy_limits = reader.section("policy_limits")
        section = _SettingsSection(
            settings=settings,
            connect_ms=policy_limits.number("dial_timeout_ms", minimum=MIN_CONNECT_MS),
            idle_ms=policy_limits.number("conn_idle_ms", minimum=MIN_IDLE_MS),
            report_names=_read_report_names(reader.section("feedback")),
        )
    except ValueError as error:
        raise ConfigError(str(error)) from None
    if keys := unknown_keys(table):
        shown = ", ".join(key[:MAX_LOGGED_KEY_CHARACTERS] for key in keys[:MAX_LOGGED_KEYS])
        log.warning("settings unknown to this program: %s", shown)
    return section


def _read_report_names(feedback: SettingsReader) -> tuple[str, ...]:
    """Read the names of the fields of the load reports that answers carry."""
    fields = feedback.raw_value("fields")
    if not isinstance(fields, list) or not all(isinstance(name, str) for name in fields):
        shown = repr(fields)[:MAX_SHOWN_CHARACTERS]
        raise ValueError(f"setting feedback.fields: expected a list of names, got {shown}")
    return tuple(fields) if feedback.choice("how", LOAD_REPORTS) else ()


def _read_seed(raw: Mapping[str, object]) -> int:
    try:
        return int(str(raw.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError("seed: expected hex digits") from None


def _read_cached_endpoints(raw: Mapping[str, object]) -> EndpointSnapshot | None:
    """Read the cached endpoint list; None if the file has none."""
    if raw.get("known") is None:
        return None
    try:
        return read_endpoint_snapshot(raw["known"])
    except ValueError as error:
        raise ConfigError(f"known.{error}") from None


def _read_operators(root: Path, settings: Settings) -> Operators:
    try:
        operators = read_operators(root / DEPLOY_FOLDER / OPERATORS_FILE)
    except OperatorsError as error:
        raise ConfigError(str(error)) from None
    if operators.counter_watch.enabled and not settings.has_counter:
        raise ConfigError(f"{OPERATORS_FILE}: counter_watch.enabled: the settings give no counter to watch")
    return operators


def _read_admin_address(
    environ: Mapping[str, str], raw: Mapping[str, object], listen: Address
) -> Address | None:
    """Read the admin address; None if neither the environment nor the file has one."""
    key = "LB_MGMT" if environ.get("LB_MGMT") else "mgmt"
    if not (value := environ.get("LB_MGMT") or raw.get("mgmt")):
        return None
    mgmt = read_address(key, value)
    if mgmt == listen:
        raise ConfigError(f"{key}: the same address as listen")
    return mgmt


def _read_discovery(environ: Mapping[str, str], raw: Mapping[str, object], is_reload: bool) -> Address:
    if is_reload and raw.get("discovery"):
        return read_address("discovery", raw["discovery"])
    return read_address("LB_DISCOVERY", environ.get("LB_DISCOVERY") or raw.get("discovery"))


def _read_socket_fd(value: str | None) -> int | None:
    """Read the file descriptor of an inherited listening socket."""
    if not value:
        return None
    try:
        with socket.socket(fileno=os.dup(int(value))) as inherited:
            listens = inherited.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            if inherited.type != socket.SOCK_STREAM or not listens:
                raise ValueError
    except (ValueError, OSError, OverflowError):
        shown = value[:MAX_SHOWN_DESCRIPTOR_CHARACTERS]
        raise ConfigError(f"LB_SOCKET_FD: {shown!r} is no listening TCP socket") from None
    return int(value)
