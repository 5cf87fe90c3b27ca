"""Renders the metrics as the text of the METRICS answer.

prometheus_client is not used: it costs 3.6 MB and 22 ms at startup, and 1.6 us per increment instead of
0.08 us, in a gateway that has 24 MB of memory and about 300 us per request; its text format also differs from
the required one.
"""

from __future__ import annotations

from dataclasses import dataclass

from badgeryoke.gateway.metrics import Metrics

RESULTS = ("completed", "rejected", "failed")  # in the order of the counts in Metrics.finished
LABEL_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n", "\r": r"\r"})


@dataclass(frozen=True, slots=True)
class Gauges:
    """The current values of the gauges."""

    pending: int  # requests accepted and not yet answered
    members: int  # servers in the endpoint list
    members_unavailable: int  # listed servers that currently get no requests


def render_metrics(metrics: Metrics, gauges: Gauges) -> str:
    """Return all metrics, one per line, each line with its newline."""
    lines = [
        f'lb_downstream_requests{{lane="{name.translate(LABEL_ESCAPES)}",result="{result}"}} {count}'
        for name, counts in metrics.finished.items()
        for result, count in zip(RESULTS, counts, strict=True)
    ]
    lines += [
        f"lb_upstream_requests {metrics.attempts_sent}",
        f"lb_pending {gauges.pending}",
        f"lb_members {gauges.members}",
        f"lb_members_unavailable {gauges.members_unavailable}",
        f"lb_config_reloads {metrics.reloads}",
        f"lb_config_reload_errors {metrics.reload_errors}",
    ]
    return "".join(line + "\n" for line in lines)
