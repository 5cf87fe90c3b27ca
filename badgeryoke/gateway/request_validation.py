"""Validates a client's request against the settings in force, before it is accepted."""

from __future__ import annotations

from badgeryoke.decisions import interface as api
from badgeryoke.gateway.attempt import Request

MAX_ECHOED_CHARACTERS = 32  # length to which an error reply cuts a client's text
DEADLINE_ROUNDING_MS = 1.0  # clients round the remaining time up


class RequestValidator:
    """Validates requests by the classes, plans and limits of the settings in force."""

    def __init__(self, settings: api.Settings) -> None:
        self.update_settings(settings)

    def update_settings(self, settings: api.Settings) -> None:
        """Apply new settings."""
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.plans = {plan.name for plan in settings.plans}
        self._gateway_count = settings.gateway_count
        self._max_request_units = settings.max_request_units

    def validate(self, request: Request) -> str | None:
        """The error text for the client of an invalid request; None if the request is valid."""
        request_class = self.classes.get(request.request_class)
        if request_class is None:
            return f"unknown class {request.request_class[:MAX_ECHOED_CHARACTERS]!r}"
        if request.idempotent is not None and request.idempotent is not (
            request_class.idempotency is api.Idempotency.IDEMPOTENT
        ):
            return "not the command for this class"
        if request_class.idempotency is api.Idempotency.WITH_KEY and not request.idempotency_key:
            return "no key, in a class that takes one"
        if request.plan not in self.plans:
            return f"unknown plan {request.plan[:MAX_ECHOED_CHARACTERS]!r}"
        # A value out of range would be charged to a customer's quota, or keep the request open for too long.
        for name, value, maximum in (
            ("time to wait", request.remaining_ms, request_class.deadline_ms + DEADLINE_ROUNDING_MS),
            ("units", request.units, self._max_request_units),
            ("spread", request.gateway_set_size, self._gateway_count),
        ):
            if not 0 < value <= maximum:  # false for NaN, too
                return f"{name} out of range"
        if not 0 <= request.first_gateway < self._gateway_count:
            return "first out of range"
        return None
