"""The decisions of a gateway that keeps each customer of a shared back end to its plan."""

from badgeryoke.decisions.policy.engine import DecisionEngine

__all__ = ["DecisionEngine"]
