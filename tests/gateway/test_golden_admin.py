"""The admin server: golden metrics, golden answers to each call, and the names of the shutdown states."""

from __future__ import annotations

from dataclasses import replace

from badgeryoke.gateway.admin.calls import answer_call
from badgeryoke.gateway.admin.rendering import Gauges, render_metrics
from badgeryoke.gateway.admin.server import MAX_FLEET_LINE_BYTES
from badgeryoke.gateway.application import GatewayApplication
from badgeryoke.gateway.graceful_shutdown import ShutdownState
from badgeryoke.gateway.metrics import Metrics, RequestResult
from tests.support.golden_files import assert_golden, golden, text_lines
from tests.support.running import run_test, send_commands, until
from tests.support.stand_ins import (
    HOST,
    Backend,
    Discovery,
    config,
    connect,
    endpoint_snapshot,
    entry,
    gateway,
    query,
    resp,
)

METRICS, CALLS, ANSWERS = "metrics.txt", "management-calls.txt", "management-answers.txt"


def metrics_text() -> str:
    """All metrics of a fixed state, with request classes whose names must be escaped."""
    metrics = Metrics(["read", "write"])
    metrics.add_classes(['odd "name"\\', "two\nlines\r", "read"])
    metrics.finished["read"][RequestResult.COMPLETED] = 11
    metrics.finished["read"][RequestResult.REJECTED] = 12
    metrics.finished["write"][RequestResult.FAILED] = 13
    metrics.finished['odd "name"\\'][RequestResult.REJECTED] = 14
    for _ in range(15):
        metrics.attempt_sent()
    metrics.reloads, metrics.reload_errors = 16, 17
    return render_metrics(metrics, Gauges(pending=18, members=19, members_unavailable=20))


def test_the_rendered_metrics_match_the_golden_file() -> None:
    assert_golden(METRICS, metrics_text().encode())


# Calls without a socket -------------------------------------------------------------------------------


class StubOperations:
    """A gateway that answers each operation with fixed values."""

    def __init__(self, can_serve: bool, error: str) -> None:
        self._can_serve, self._error = can_serve, error

    def status(self) -> tuple[bool, str]:
        return self._can_serve, "the state"

    def pause(self) -> str:
        return self._error

    def resume(self) -> str:
        return self._error

    def metrics(self) -> str:
        return "lb_pending 1\n"

    @property
    def is_cluster_member(self) -> bool:
        return False

    async def fleet_call(self, call: bytes) -> bytes:
        return b"+OK " + call + b"\n"


LINES = (
    b"STATUS\n",
    b"  STATUS \r\n",
    b"METRICS\n",
    b"PAUSE\n",
    b"RESUME\n",
    b"\n",
    b"status\n",
    b"NONSENSE\n",
    b"FLEET\n",
)


def answers() -> list[str]:
    """The answers to each line from a gateway that can carry out the call, and from one that cannot."""
    return [
        f"{label} {line!r}: {answer_call(operations, line)!r}"
        for label, operations in (
            ("good", StubOperations(True, "")),
            ("bad", StubOperations(False, "why not")),
        )
        for line in LINES
    ]


def states() -> list[str]:
    """The names of the shutdown states, as STATUS reports them."""
    return [f"state {state.value}" for state in ShutdownState]


def test_each_call_gets_the_golden_answer() -> None:
    assert_golden(ANSWERS, text_lines([*answers(), *states()]))


# Calls on sockets -------------------------------------------------------------------------------------


async def send_call(app: GatewayApplication, line: bytes) -> bytes:
    """Send a call and read its answer until the connection closes."""
    reader, writer = await connect(app.lifecycle.admin_address)
    writer.write(line)
    answer = await reader.read()
    writer.close()
    return answer


def recorded_calls() -> list[str]:
    """The answers to calls while a gateway serves, is paused and resumes."""
    lines: list[str] = []

    async def record() -> None:
        async with Backend() as backend, Discovery(entry("a", backend.port)) as discovery:
            gateway_config = config(discovery.port, None, endpoint_snapshot(entry("a", backend.port)))
            async with gateway(replace(gateway_config, mgmt=(HOST, 0))) as app:

                async def record_call(line: bytes) -> None:
                    lines.append(f"{line[:40]!r}: {await send_call(app, line)!r}")

                for line in (b"STATUS\n", b"METRICS\n"):
                    await record_call(line)
                for number in range(3):
                    await send_commands(app, query(f"r{number}"))
                await send_commands(app, query("w", "load-send", key="1" * 16))
                await record_call(b"METRICS\n")
                await record_call(b"PAUSE\n")
                await until(lambda: app.lifecycle.shutdown.state is ShutdownState.PAUSED)
                await record_call(b"STATUS\n")
                lines.append(f"client, paused: {await send_commands(app, resp('PING'))!r}")
                await record_call(b"RESUME\n")
                for line in (
                    b"STATUS\n",
                    b"FLEET\n",
                    b"FLEET STATUS\n",
                    b'FLEET {"call":"members"}\n',
                    b"\n",
                    b"NONSENSE\n",
                    b"x" * 300 + b"\n",
                    b"FLEET " + b"x" * 300 + b"\n",
                    b"FLEET " + b"x" * MAX_FLEET_LINE_BYTES + b"\n",
                ):
                    await record_call(line)
                lines.append(f"client, resumed: {await send_commands(app, resp('PING'))!r}")

    run_test(record)
    return lines


def test_calls_on_sockets_get_the_golden_answers() -> None:
    assert_golden(CALLS, text_lines(recorded_calls()))


def test_every_rendered_metric_is_in_the_golden_calls() -> None:
    for line in golden(METRICS).decode().splitlines():
        assert line.split("{")[0].split(" ")[0].encode() in golden(CALLS)
