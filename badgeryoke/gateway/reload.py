"""Reload at SIGHUP: the configuration is read again, and its settings and addresses are applied in one step."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace

from badgeryoke.gateway.config.errors import ConfigError
from badgeryoke.gateway.config.file_shape import first_missing_key
from badgeryoke.gateway.config.model import Config
from badgeryoke.gateway.parts import GatewayParts

log = logging.getLogger(__name__)

# Fields that a reload does not change: they are applied at the next start.
PROCESS_FIELDS = (
    "name",
    "listen",
    "seed",
    "sockets",
    "memory_mb",
    "known",
    "drain_s",
    "mgmt",
    "socket_fd",
    "folder",
    "diameter",
    "operators",
)
UNREPORTED_FIELDS = frozenset({"seed", "known"})  # expected to differ from file to file


def reload_config(parts: GatewayParts, read_new_config: Callable[[], Config]) -> None:
    """Read the configuration again, and apply it or reject it as a whole.

    Requests in flight keep the class that they began with.  A rejected configuration is counted and logged with its
    faulty key; the one in force stays.
    """
    try:
        config = _read_valid(parts, read_new_config)
    except ConfigError as fault:
        parts.dispatcher.metrics.reload_errors += 1
        log.error("reload: configuration: %s; keeping the one in force", fault)
        return
    old = parts.config
    unchanged = {field: getattr(old, field) for field in PROCESS_FIELDS}
    parts.config = replace(config, counter=config.counter or old.counter, **unchanged)
    _apply(parts)
    parts.dispatcher.metrics.reloads += 1
    _log_changes(old, config, parts.config)


def _read_valid(parts: GatewayParts, read_new_config: Callable[[], Config]) -> Config:
    config = read_new_config()
    if missing := first_missing_key(parts.config.file_shape, config.file_shape):
        raise ConfigError(f"{missing}: missing, but present in the file in force")
    if config.settings.has_counter and parts.counter is None:
        raise ConfigError("settings.family_info.has_counter: a counter can be added at the next start only")
    return config


def _apply(parts: GatewayParts) -> None:
    config, settings = parts.config, parts.config.settings
    parts.discovery.switch_address(config.discovery)
    parts.discovery.update_settings(settings.gateway_count)
    if parts.counter is not None and config.counter is not None:
        parts.counter.switch_address(config.counter)
        parts.counter.update_settings(settings.counter_timeout_ms)
    parts.upstreams.update_settings(config)
    if parts.diameter_listener is not None:
        parts.diameter_listener.register.update_settings(settings)
    parts.dispatcher.update_settings(settings)


def _log_changes(old: Config, loaded: Config, applied: Config) -> None:
    """Log what is in force now, and which fields of the file are not."""
    for field in PROCESS_FIELDS:
        if field not in UNREPORTED_FIELDS and getattr(loaded, field) != getattr(old, field):
            log.warning("reload: %s differs: applied at the next start only", field)
    log.info("reload: discovery at %s:%d", *applied.discovery)
    if applied.counter is not None:
        log.info("reload: counter at %s:%d", *applied.counter)
    if applied.settings != old.settings:
        names = ", ".join(request_class.name for request_class in applied.settings.classes)
        log.info("reload: new settings, classes %s", names)
