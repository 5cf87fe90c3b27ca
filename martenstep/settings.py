"""The settings a gateway is told, as nested JSON, turned into the module's own: the same on every wire."""

from __future__ import annotations

import math
from typing import Any

from martenstep import interface as api

EFFECTS = {"idempotent": api.Effect.SAFE, "deduplicated": api.Effect.KEYED, "at_most_once": api.Effect.UNSAFE}


def _need(table: dict[str, Any], path: str) -> Any:
    value: Any = table
    for part in path.split("."):
        if not isinstance(value, dict) or part not in value:
            raise ValueError(f"setting {path}: missing")
        value = value[part]
    return value


def _figure(value: Any, path: str) -> float:
    """A finite number, and neither a truth value nor a text."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"setting {path}: expected a number, got {value!r}")
    return float(value)


def _get(table: dict[str, Any], key: str, default: float) -> float:
    """A figure that may be left out."""
    return _figure(table.get(key, default), key)


def _above_0(value: Any, path: str) -> float:
    if not (figure := _figure(value, path)) > 0:
        raise ValueError(f"setting {path}: expected a number above 0, got {value!r}")
    return figure


def _whole(value: Any, path: str) -> int:
    if (figure := _figure(value, path)) != int(figure):
        raise ValueError(f"setting {path}: expected a whole number, got {value!r}")
    return int(figure)


def _effect(entry: dict[str, Any]) -> api.Effect:
    word = _need(entry, "idempotency")
    if word not in EFFECTS:
        raise ValueError(f"setting classes[].idempotency: expected one of {', '.join(EFFECTS)}, got {word!r}")
    return EFFECTS[word]


def settings_from(raw: dict[str, Any]) -> api.Settings:
    """Turn the nested settings into the module's; raises ValueError naming the key."""
    family, limits, rules = raw.get("family_info", {}), _need(raw, "policy_limits"), _need(raw, "rules")
    try:
        return api.Settings(
            me=_whole(_need(raw, "me"), "me"),
            gateways=_whole(_need(raw, "instances"), "instances"),
            zone=raw.get("zone", ""),
            tick_ms=_figure(_need(raw, "tick_ms"), "tick_ms"),
            classes=tuple(
                api.RequestClass(
                    name=_need(entry, "name"),
                    aim_ms=_figure(_need(entry, "slo_ms"), "classes[].slo_ms"),
                    deadline_ms=_above_0(_need(entry, "deadline_ms"), "classes[].deadline_ms"),
                    effect=_effect(entry),
                    group=api.Group(entry.get("group", "all")),
                    window_ms=_get(entry, "window_ms", 0.0),
                    worth=_get(entry, "worth", 1.0),
                    late_share=_get(entry, "late_share", 0.0),
                )
                for entry in _need(raw, "classes")
            ),
            plans=tuple(
                api.Plan(
                    name=_need(entry, "name"),
                    rate=_get(entry, "units_per_s", 0.0),
                    burst=_get(entry, "most_at_once", 0.0),
                    open_limit=_whole(entry.get("open", 0), "open"),
                    price=_get(entry, "worth_factor", 1.0),
                    over_worth=_get(entry, "over_worth", 0.0),
                    over_cost=_get(entry, "beyond_costs", 0.0),
                    ceiling_rate=_get(entry, "hard_rate", 0.0),
                    ceiling_burst=_get(entry, "cap_depth", 0.0),
                    ceiling_slack=_get(entry, "tolerance", 0.0),
                )
                for entry in raw.get("contracts", [])
            ),
            has_counter=bool(family.get("has_counter", False)),
            counter_timeout_ms=_get(family, "counter_timeout_ms", 0.0),
            max_units=_get(family, "max_units", 1.0),
            max_attempts=_whole(_above_0(limits.get("try_limit", 1), "policy_limits.try_limit"),
                                "policy_limits.try_limit"),
            can_cancel=bool(limits.get("cancelling", False)),
            max_retry_after_ms=_get(limits, "max_retry_after_ms", 0.0),
            must_subscribe=raw.get("discovery", "automatic") == "subscribe",
            ask_within_ms=_get(rules, "ask_every_ms", 0.0),
            answer_slack_ms=_get(rules, "answer_slack_ms", 0.0),
            cold_from=_get(rules, "cold_from", 1.0),
            warm_within_ms=_get(rules, "warm_within_ms", 0.0),
            fall_multiple=_get(rules, "fall_multiple", 1.0),
            fall_window_ms=_get(rules, "overload_for_ms", 0.0),
        )
    except TypeError as error:
        raise ValueError(f"settings: a value has the wrong form ({error})") from None
