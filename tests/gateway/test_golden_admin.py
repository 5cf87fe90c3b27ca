"""The second address: its figures, its answers, and the words of each state."""

from __future__ import annotations

from dataclasses import replace

from badgeryoke.gateway.admin.calls import answer_call
from badgeryoke.gateway.admin.rendering import Gauges, render_metrics
from badgeryoke.gateway.admin.server import MAX_FLEET_LINE_BYTES
from badgeryoke.gateway.application import GatewayApplication
from badgeryoke.gateway.graceful_shutdown import ShutdownState
from badgeryoke.gateway.metrics import Metrics, RequestResult
from tests.support.golden_files import assert_golden, golden, text_lines
from tests.support.running import ask, until
from tests.support.running import run_test as play
from tests.support.stand_ins import (
    HOST,
    Backend,
    Discovery,
    config,
    connect,
    entry,
    gateway,
    query,
    resp,
    roster,
)

METRICS, CALLS, ANSWERS = "metrics.txt", "management-calls.txt", "management-answers.txt"


def figures() -> str:
    """All figures of a fixed state, also of a class whose name has to be escaped."""
    made = Metrics(["read", "write"])
    made.add_classes(['odd "name"\\', "two\nlines\r", "read"])
    made.finished["read"][RequestResult.COMPLETED] = 11
    made.finished["read"][RequestResult.REJECTED] = 12
    made.finished["write"][RequestResult.FAILED] = 13
    made.finished['odd "name"\\'][RequestResult.REJECTED] = 14
    for _ in range(15):
        made.attempt_sent()
    made.reloads, made.reload_errors = 16, 17
    return render_metrics(made, Gauges(pending=18, members=19, members_unavailable=20))


def test_the_figures_are_the_golden_ones() -> None:
    assert_golden(METRICS, figures().encode())


# Each call, by itself ---------------------------------------------------------------------------------


class Operated:
    """A gateway that says what it was made to say."""

    def __init__(self, good: bool, why_not: str) -> None:
        self._good, self._why_not = good, why_not

    def status(self) -> tuple[bool, str]:
        return self._good, "the state"

    def pause(self) -> str:
        return self._why_not

    def resume(self) -> str:
        return self._why_not

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
    """What each line gets from a gateway that can, and from one that cannot."""
    return [
        f"{kind} {line!r}: {answer_call(operated, line)!r}"
        for kind, operated in (("good", Operated(True, "")), ("bad", Operated(False, "why not")))
        for line in LINES
    ]


def states() -> list[str]:
    """The words for the states of the drain, as STATUS gives them."""
    return [f"state {state.value}" for state in ShutdownState]


def test_each_call_gets_the_golden_answer() -> None:
    assert_golden(ANSWERS, text_lines([*answers(), *states()]))


# On sockets -------------------------------------------------------------------------------------------


async def called(app: GatewayApplication, line: bytes) -> bytes:
    """All of an answer, to the connection's end."""
    reader, writer = await connect(app.lifecycle.admin_address)
    writer.write(line)
    answer = await reader.read()
    writer.close()
    return answer


def conversation() -> list[str]:
    """The operators' calls to a gateway that serves, is paused and comes back."""
    lines: list[str] = []

    async def record() -> None:
        async with Backend() as node, Discovery(entry("a", node.port)) as list_:
            made = config(list_.port, None, roster(entry("a", node.port)))
            async with gateway(replace(made, mgmt=(HOST, 0))) as app:

                async def call(line: bytes) -> None:
                    lines.append(f"{line[:40]!r}: {await called(app, line)!r}")

                for line in (b"STATUS\n", b"METRICS\n"):
                    await call(line)
                for number in range(3):
                    await ask(app, query(f"r{number}"))
                await ask(app, query("w", "load-send", key="1" * 16))
                await call(b"METRICS\n")
                await call(b"PAUSE\n")
                await until(lambda: app.lifecycle.shutdown.state is ShutdownState.PAUSED)
                await call(b"STATUS\n")
                lines.append(f"client, paused: {await ask(app, resp('PING'))!r}")
                await call(b"RESUME\n")
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
                    await call(line)
                lines.append(f"client, resumed: {await ask(app, resp('PING'))!r}")

    play(record)
    return lines


def test_the_operators_calls_get_the_golden_answers() -> None:
    assert_golden(CALLS, text_lines(conversation()))


def test_every_figure_that_is_rendered_is_in_the_golden_conversation() -> None:
    for line in golden(METRICS).decode().splitlines():
        assert line.split("{")[0].split(" ")[0].encode() in golden(CALLS)
