"""The settings a gateway is told, as nested JSON, turned into the module's own: the same on every wire."""

from __future__ import annotations

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
            me=int(_need(raw, "me")),
            gateways=int(_need(raw, "instances")),
            zone=raw.get("zone", ""),
            tick_ms=float(_need(raw, "tick_ms")),
            classes=tuple(
                api.RequestClass(
                    name=_need(entry, "name"),
                    aim_ms=float(_need(entry, "slo_ms")),
                    deadline_ms=float(_need(entry, "deadline_ms")),
                    effect=_effect(entry),
                    group=api.Group(entry.get("group", "all")),
                    window_ms=float(entry.get("window_ms", 0.0)),
                    worth=float(entry.get("worth", 1.0)),
                    late_share=float(entry.get("late_share", 0.0)),
                )
                for entry in _need(raw, "classes")
            ),
            plans=tuple(
                api.Plan(
                    name=_need(entry, "name"),
                    rate=float(entry.get("units_per_s", 0.0)),
                    burst=float(entry.get("most_at_once", 0.0)),
                    open_limit=int(entry.get("open", 0)),
                    price=float(entry.get("worth_factor", 1.0)),
                    over_worth=float(entry.get("over_worth", 0.0)),
                    over_cost=float(entry.get("beyond_costs", 0.0)),
                    ceiling_rate=float(entry.get("hard_rate", 0.0)),
                    ceiling_burst=float(entry.get("cap_depth", 0.0)),
                    ceiling_slack=float(entry.get("tolerance", 0.0)),
                )
                for entry in raw.get("contracts", [])
            ),
            has_counter=bool(family.get("has_counter", False)),
            counter_timeout_ms=float(family.get("counter_timeout_ms", 0.0)),
            max_units=float(family.get("max_units", 1.0)),
            max_attempts=int(limits.get("try_limit", 1)),
            can_cancel=bool(limits.get("cancelling", False)),
            max_retry_after_ms=float(limits.get("max_retry_after_ms", 0.0)),
            must_subscribe=raw.get("discovery", "automatic") == "subscribe",
            ask_within_ms=float(rules.get("ask_every_ms", 0.0)),
            answer_slack_ms=float(rules.get("answer_slack_ms", 0.0)),
            cold_from=float(rules.get("cold_from", 1.0)),
            warm_within_ms=float(rules.get("warm_within_ms", 0.0)),
            fall_multiple=float(rules.get("fall_multiple", 1.0)),
            fall_window_ms=float(rules.get("overload_for_ms", 0.0)),
        )
    except TypeError as error:
        raise ValueError(f"settings: a value has the wrong form ({error})") from None
