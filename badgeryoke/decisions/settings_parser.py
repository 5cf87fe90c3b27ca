"""Parses the platform's settings, nested JSON that is the same for every wire protocol, into `Settings`.

Every setting that the engine uses must be present, of the right type and in its range; an error names its
full key.  A number may be absent only if its absence disables a feature: a ceiling, or a value of late
responses.  An unknown key is not an error, but is reported.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

from badgeryoke.decisions import interface as api

K = TypeVar("K")
T = TypeVar("T")
IDEMPOTENCIES = {
    "idempotent": api.Idempotency.IDEMPOTENT,
    "deduplicated": api.Idempotency.WITH_KEY,
    "at_most_once": api.Idempotency.NOT_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {scope.value: scope for scope in api.DeduplicationScope}
MUST_SUBSCRIBE = {"automatic": False, "subscribe": True}
FLAGS = {True: True, False: False}  # 1 and 0 are accepted as well, as they are equal to True and False
# Larger numbers and longer names are mistakes: sums would lose digits, and no request could carry such a
# class or plan name.
MAX_NUMBER = 1e12
MAX_DURATION_MS = 1e7
MAX_UNITS = 1e6
MAX_GATEWAYS = 1e6
MAX_ATTEMPTS = 1e3
MAX_NAME_CHARACTERS = 256
MAX_SHOWN_CHARACTERS = 64  # length to which an error message cuts an invalid value
# Every key that the platform documents, by section, including those that the engine does not use.
KNOWN_KEYS = {
    "": "charges classes clients contracts discovery family_info feedback goal instances kind_of_service kinds me "
    "policy_limits rules tick_ms tier tiers weight_kind zone zones",
    "charges": "connection cross_zone discovery fleet handshake late_fail moves origin peer probe waste",
    "classes": "aim_stretch deadline_ms group idempotency late_share name slo_ms stream window_ms worth",
    "clients": "marks_retry",
    "contracts": "beyond_costs cap_depth hard_rate most_at_once name open over_worth tolerance units_per_s worth_factor",
    "family_info": "counter_price counter_timeout_ms has_counter max_units meter_period_ms peer_intake trued_up",
    "feedback": "fields how",
    "goal": "whole worst_class worst_tenant worst_window",
    "policy_limits": "cancelling conn_idle_ms cpu_us_per_request cpu_us_per_s dial_timeout_ms max_open "
    "max_retry_after_ms max_streams parallel_tries peers probes retry_after try_limit",
    "rules": "answer_slack_ms ask_every_ms cold_from drain_grace_ms fall_multiple overload_for_ms warm_within_ms",
}


def unknown_keys(settings: Mapping[str, object]) -> list[str]:
    """Return the keys that are not documented: mistyped ones, or ones of a newer platform."""
    unknown: dict[str, None] = {}
    for section, known in KNOWN_KEYS.items():
        value, path = (settings.get(section), f"{section}.") if section else (settings, "")
        for entry in value if isinstance(value, list) else [value]:
            for key in entry if isinstance(entry, dict) else ():
                if key not in known.split():
                    unknown[path + key] = None
    return list(unknown)


class SettingsReader:
    """Reads one object of the settings; its methods raise a ValueError that names the key."""

    def __init__(self, values: object, path: str = "") -> None:
        if not isinstance(values, dict):
            raise ValueError(f"setting {path}: expected an object, got {_abbreviated(values)}")
        self._values: dict[str, object] = values
        self._path = path

    def has(self, key: str) -> bool:
        """Whether the key is present."""
        return key in self._values

    def raw_value(self, key: str) -> object:
        """Return a value of any type."""
        if key not in self._values:
            raise ValueError(f"setting {self._full_key(key)}: missing")
        return self._values[key]

    def number(
        self, key: str, minimum: float = 0.0, maximum: float = MAX_NUMBER, default: float | None = None
    ) -> float:
        """Return a number in its range, not a boolean; the default, if given, replaces an absent key."""
        value = self.raw_value(key) if default is None else self._values.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
            raise self._error(key, f"a number from {minimum:g} to {maximum:g}", value)
        return float(value)

    def positive_number(self, key: str, maximum: float = MAX_NUMBER) -> float:
        """Return a number above 0."""
        if not (value := self.number(key, 0.0, maximum)) > 0:
            raise self._error(key, "a number above 0", value)
        return value

    def integer(self, key: str, minimum: float, maximum: float) -> int:
        """Return an integer in its range, which may be written with a fraction of 0."""
        if (value := self.number(key, minimum, maximum)) != int(value):
            raise self._error(key, "a whole number", value)
        return int(value)

    def choice(self, key: str, choices: Mapping[K, T]) -> T:
        """Return what the value is mapped to in `choices`."""
        value = self.raw_value(key)
        if not isinstance(value, list | dict):
            for choice, result in choices.items():
                if choice == value:
                    return result
        raise self._error(key, f"one of {', '.join(map(str, choices))}", value)

    def text(self, key: str) -> str:
        """Return a string of limited length."""
        value = self.raw_value(key)
        if not isinstance(value, str) or len(value) > MAX_NAME_CHARACTERS:
            raise self._error(key, f"a text of {MAX_NAME_CHARACTERS} characters at most", value)
        return value

    def section(self, key: str) -> SettingsReader:
        """Return the reader of a nested object."""
        return SettingsReader(self.raw_value(key), self._full_key(key))

    def named_entries(self, key: str, minimum: int = 1) -> list[SettingsReader]:
        """Return the readers of a list of objects with unique names."""
        value = self.raw_value(key)
        if not isinstance(value, list) or len(value) < minimum:
            raise self._error(key, f"a list with {minimum} entries at least", value)
        entries = [
            SettingsReader(entry, f"{self._full_key(key)}[{index}]") for index, entry in enumerate(value)
        ]
        seen: set[str] = set()
        for entry in entries:
            if not (name := entry.text("name")) or name in seen:
                raise entry._error("name", "a name that no other has", name)
            seen.add(name)
        return entries

    def _full_key(self, key: str) -> str:
        return f"{self._path}.{key}" if self._path else key

    def _error(self, key: str, expected: str, value: object) -> ValueError:
        return ValueError(f"setting {self._full_key(key)}: expected {expected}, got {_abbreviated(value)}")


def _abbreviated(value: object) -> str:
    return repr(value)[:MAX_SHOWN_CHARACTERS]


def _read_class(entry: SettingsReader) -> api.RequestClass:
    idempotency = entry.choice("idempotency", IDEMPOTENCIES)
    has_key = idempotency is api.Idempotency.WITH_KEY
    return api.RequestClass(
        name=entry.text("name"),
        latency_objective_ms=entry.positive_number("slo_ms", MAX_DURATION_MS),
        deadline_ms=entry.positive_number("deadline_ms", MAX_DURATION_MS),
        idempotency=idempotency,
        deduplication_scope=entry.choice("group", DEDUPLICATION_SCOPES)
        if has_key
        else api.DeduplicationScope.ALL,
        deduplication_window_ms=entry.number("window_ms", default=None if has_key else 0.0),
        priority_weight=entry.number("worth"),
        late_value_fraction=entry.number("late_share", default=0.0),
    )


def _read_plan(entry: SettingsReader) -> api.Plan:
    rate, ceiling_rate = entry.number("units_per_s"), entry.number("hard_rate", default=0.0)
    return api.Plan(
        name=entry.text("name"),
        rate=rate,
        burst=entry.positive_number("most_at_once") if rate else entry.number("most_at_once"),
        concurrency_limit=entry.integer("open", 0, MAX_UNITS),
        price=entry.number("worth_factor"),
        over_quota_value=entry.number("over_worth"),
        over_quota_cost=entry.number("beyond_costs"),
        ceiling_rate=ceiling_rate,
        ceiling_burst=entry.positive_number("cap_depth")
        if ceiling_rate
        else entry.number("cap_depth", default=0.0),
        ceiling_slack=entry.number("tolerance", default=0.0),
    )


def parse_settings(settings: Mapping[str, object]) -> api.Settings:
    """Parse the engine's settings; raises a ValueError that names the key."""
    top = SettingsReader(settings)
    limits, rules, family = top.section("policy_limits"), top.section("rules"), top.section("family_info")
    gateways = top.integer("instances", 1, MAX_GATEWAYS)
    has_counter = family.choice("has_counter", FLAGS)
    must_subscribe = top.choice("discovery", MUST_SUBSCRIBE)
    return api.Settings(
        gateway_index=top.integer("me", 0, gateways - 1),
        gateway_count=gateways,
        zone=top.text("zone") if top.has("zone") or settings.get("zones") else "",  # a site may have no zones
        tick_ms=top.positive_number("tick_ms", MAX_DURATION_MS),
        classes=tuple(map(_read_class, top.named_entries("classes"))),
        plans=tuple(
            map(_read_plan, top.named_entries("contracts", minimum=0))
        ),  # a gateway that enforces no plan has none
        has_counter=has_counter,
        counter_timeout_ms=family.positive_number("counter_timeout_ms", MAX_DURATION_MS)
        if has_counter
        else 0.0,
        max_request_units=family.positive_number("max_units", MAX_UNITS),
        max_attempts=limits.integer("try_limit", 1, MAX_ATTEMPTS),
        can_cancel=limits.choice("cancelling", FLAGS),
        max_retry_after_ms=limits.number("max_retry_after_ms"),
        must_subscribe=must_subscribe,
        poll_within_ms=rules.number("ask_every_ms", default=None if must_subscribe else 0.0),
        response_slack_ms=rules.number("answer_slack_ms"),
        slow_start_fraction=rules.number("cold_from", 0.0, 1.0),
        slow_start_ms=rules.number("warm_within_ms"),
        overload_multiple=rules.positive_number("fall_multiple"),
        overload_window_ms=rules.positive_number("overload_for_ms"),
        has_single_zone=_has_single_zone(settings.get("zones")),
    )


def _has_single_zone(zones: object) -> bool:
    """Whether the list of zone names has at most one: a site may have no zones."""
    return isinstance(zones, list) and len(zones) <= 1
