"""martenstep: the decisions of a gateway that keeps each customer of a shared back end to its plan."""

from martenstep.decide import Gateway

__all__ = ["Gateway"]
