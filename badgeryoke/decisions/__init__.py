"""The decision engine of a gateway that enforces each customer's plan at a shared upstream service."""

from badgeryoke.decisions.policy.engine import DecisionEngine

__all__ = ["DecisionEngine"]
