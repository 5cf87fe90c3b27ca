"""The settings a gateway is told, as nested JSON, turned into the module's own: the same on every wire.

What the module goes by has to be there, of the right form and in its range; a fault names its key in full.  A
figure may be left out only where that says that there is no such thing: a ceiling, worth after the aim.  A
key that the page of the wire does not name is no fault, but is told.
"""

from __future__ import annotations

from typing import Any, TypeVar

from badgeryoke.decisions import interface as api

T = TypeVar("T")
EFFECTS = {
    "idempotent": api.Idempotency.IDEMPOTENT,
    "deduplicated": api.Idempotency.WITH_KEY,
    "at_most_once": api.Idempotency.NOT_IDEMPOTENT,
}
GROUPS = {group.value: group for group in api.DeduplicationScope}
SUBSCRIBED = {"automatic": False, "subscribe": True}
FLAGS = {True: True, False: False}  # 1 and 0 as well
# Beyond these is a slip of the pen: sums would lose digits, and no query could be asked
# (resp/client_link.py).
MOST, MOST_MS, MOST_UNITS, MOST_GATEWAYS, MOST_ATTEMPTS = 1e12, 1e7, 1e6, 1e6, 1e3
MOST_SHOWN, MOST_NAME = 64, 256  # characters of a faulty value in its message; of a name
# Every key that the page of the wire names, also those that this program has no use for.
KEYS = {
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


def unknown(raw: dict[str, Any]) -> list[str]:
    """The keys that no page names: mistyped, or of a newer platform."""
    found: dict[str, None] = {}
    for section, words in KEYS.items():
        value, path = (raw.get(section), f"{section}.") if section else (raw, "")
        for entry in value if isinstance(value, list) else [value]:
            for key in entry if isinstance(entry, dict) else ():
                if key not in words.split():
                    found[path + key] = None
    return list(found)


class Reader:
    """One object of the settings; what it reads raises ValueError with the key."""

    def __init__(self, raw: Any, path: str = "") -> None:
        self._raw, self._path = raw, path
        if not isinstance(raw, dict):
            raise ValueError(f"setting {path}: expected an object, got {_shown(raw)}")

    def value(self, key: str) -> Any:
        """A value of any form."""
        if key not in self._raw:
            raise ValueError(f"setting {self._name(key)}: missing")
        return self._raw[key]

    def figure(self, key: str, least: float = 0.0, most: float = MOST, default: float | None = None) -> float:
        """A number in its range: neither a truth value, nor a text, nor none."""
        value = self.value(key) if default is None else self._raw.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
            raise self._fault(key, f"a number from {least:g} to {most:g}", value)
        return float(value)

    def above_0(self, key: str, most: float = MOST) -> float:
        """A number above 0."""
        if not (figure := self.figure(key, 0.0, most)) > 0:
            raise self._fault(key, "a number above 0", figure)
        return figure

    def whole(self, key: str, least: float, most: float) -> int:
        """A whole number."""
        if (figure := self.figure(key, least, most)) != int(figure):
            raise self._fault(key, "a whole number", figure)
        return int(figure)

    def word(self, key: str, words: dict[Any, T]) -> T:
        """One of a few words, as what it stands for."""
        value = self.value(key)
        if isinstance(value, list | dict) or value not in words:
            raise self._fault(key, f"one of {', '.join(map(str, words))}", value)
        return words[value]

    def text(self, key: str) -> str:
        """A text."""
        value = self.value(key)
        if not isinstance(value, str) or len(value) > MOST_NAME:
            raise self._fault(key, f"a text of {MOST_NAME} characters at most", value)
        return value

    def table(self, key: str) -> Reader:
        """An object."""
        return Reader(self.value(key), self._name(key))

    def named(self, key: str, least: int = 1) -> list[Reader]:
        """A list of objects, each with a name of its own."""
        value = self.value(key)
        if not isinstance(value, list) or len(value) < least:
            raise self._fault(key, f"a list with {least} entries at least", value)
        entries = [Reader(entry, f"{self._name(key)}[{place}]") for place, entry in enumerate(value)]
        seen: set[str] = set()
        for entry in entries:
            if not (name := entry.text("name")) or name in seen:
                raise entry._fault("name", "a name that no other has", name)
            seen.add(name)
        return entries

    def _name(self, key: str) -> str:
        return f"{self._path}.{key}" if self._path else key

    def _fault(self, key: str, wanted: str, value: Any) -> ValueError:
        return ValueError(f"setting {self._name(key)}: expected {wanted}, got {_shown(value)}")


def _shown(value: Any) -> str:
    return repr(value)[:MOST_SHOWN]


def _class(entry: Reader) -> api.RequestClass:
    effect = entry.word("idempotency", EFFECTS)
    keyed = effect is api.Idempotency.WITH_KEY
    return api.RequestClass(
        name=entry.text("name"),
        latency_objective_ms=entry.above_0("slo_ms", MOST_MS),
        deadline_ms=entry.above_0("deadline_ms", MOST_MS),
        idempotency=effect,
        deduplication_scope=entry.word("group", GROUPS) if keyed else api.DeduplicationScope.ALL,
        deduplication_window_ms=entry.figure("window_ms", default=None if keyed else 0.0),
        priority_weight=entry.figure("worth"),
        late_value_fraction=entry.figure("late_share", default=0.0),
    )


def _plan(entry: Reader) -> api.Plan:
    rate, ceiling_rate = entry.figure("units_per_s"), entry.figure("hard_rate", default=0.0)
    return api.Plan(
        name=entry.text("name"),
        rate=rate,
        burst=entry.above_0("most_at_once") if rate else entry.figure("most_at_once"),
        concurrency_limit=entry.whole("open", 0, MOST_UNITS),
        price=entry.figure("worth_factor"),
        over_quota_value=entry.figure("over_worth"),
        over_quota_cost=entry.figure("beyond_costs"),
        ceiling_rate=ceiling_rate,
        ceiling_burst=entry.above_0("cap_depth") if ceiling_rate else entry.figure("cap_depth", default=0.0),
        ceiling_slack=entry.figure("tolerance", default=0.0),
    )


def settings_from(raw: dict[str, Any]) -> api.Settings:
    """Turn the nested settings into the module's; raises ValueError naming the key."""
    top = Reader(raw, "")
    limits, rules, family = top.table("policy_limits"), top.table("rules"), top.table("family_info")
    gateways = top.whole("instances", 1, MOST_GATEWAYS)
    has_counter = family.word("has_counter", FLAGS)
    must_subscribe = top.word("discovery", SUBSCRIBED)
    return api.Settings(
        gateway_index=top.whole("me", 0, gateways - 1),
        gateway_count=gateways,
        zone=top.text("zone") if "zone" in raw or raw.get("zones") else "",  # a site may have none
        tick_ms=top.above_0("tick_ms", MOST_MS),
        classes=tuple(map(_class, top.named("classes"))),
        plans=tuple(
            map(_plan, top.named("contracts", least=0))
        ),  # none: a gateway that only keeps a share in a fleet
        has_counter=has_counter,
        counter_timeout_ms=family.above_0("counter_timeout_ms", MOST_MS) if has_counter else 0.0,
        max_request_units=family.above_0("max_units", MOST_UNITS),
        max_attempts=limits.whole("try_limit", 1, MOST_ATTEMPTS),
        can_cancel=limits.word("cancelling", FLAGS),
        max_retry_after_ms=limits.figure("max_retry_after_ms"),
        must_subscribe=must_subscribe,
        poll_within_ms=rules.figure("ask_every_ms", default=None if must_subscribe else 0.0),
        response_slack_ms=rules.figure("answer_slack_ms"),
        slow_start_fraction=rules.figure("cold_from", 0.0, 1.0),
        slow_start_ms=rules.figure("warm_within_ms"),
        overload_multiple=rules.above_0("fall_multiple"),
        overload_window_ms=rules.above_0("overload_for_ms"),
    )
