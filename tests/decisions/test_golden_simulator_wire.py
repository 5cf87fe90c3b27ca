"""The simulator's text wire: a golden conversation of all kinds of lines, and the exact bytes that answer
it."""

from __future__ import annotations

import io
import json
import random
import re
from collections.abc import Iterator
from typing import TextIO, cast

import pytest

from badgeryoke.decisions import interface as api
from badgeryoke.decisions.simulator_adapter import WireError, serve, write_action
from tests.decisions.test_settings_parser import FULL
from tests.decisions.test_simulator_adapter import up
from tests.support.golden_files import assert_golden, golden, text_lines

INPUT, REPLIES, LINES = "wire-in.txt", "wire-out.txt", "wire-lines.txt"
SEED, BATCHES, BATCH_MS = 5, 160, 37.5
DOORS = ("door/0", "door/1")
CLASSES = {"door/0": ("read",), "door/1": ("tile-read", "tile-draw", "mark-set", "pass-issue")}
PLANS = {"door/0": ("plain",), "door/1": ("field", "archive", "open-only")}
VERDICTS = ("Ok",) * 8 + (
    "Failed",
    "QueueFull",
    "TimedOut",
    "ConnectError",
    "ResetByPeer",
    "Canceled",
    "Ignored",
)
# Messages of every kind that come once, by the number of their batch.
SPECIAL = {
    20: [
        "TABLE roster_id=1 entries=1",
        "BACKEND backend=33 zone=south kind=slim cohort=2 condition=U size=0.5 born_ms=9700.0",
        "UPDATE door=door/0 scope=incr index=5 roster_id=1",
        "UPDATE door=door/1 scope=incr index=5 roster_id=1",
    ],
    40: [
        "TABLE roster_id=2 entries=2",
        "BACKEND backend=11 zone=a kind=std cohort=0 condition=L size=1",
        "BACKEND backend=44 zone=b kind=std cohort=1 condition=U size=1",
        "UPDATE door=door/1 scope=incr roster_id=2",
    ],
    60: [
        "TABLE roster_id=3 entries=2",
        "BACKEND backend=22 zone=b kind=std cohort=0 condition=U size=1.5",
        "BACKEND backend=44 zone=b kind=std cohort=1 condition=D",
        "UPDATE door=door/1 scope=total roster_id=3",
    ],
    70: ["UPDATE door=door/1 scope=lost", "UPDATE door=door/0 scope=lost"],
    80: [
        "PEER_DATA door=door/0 text=of no use here",
        "PONG door=door/0 backend=11 verdict=Ok rtt_ms=3 server_stats=1,2",
        "PONG door=door/1 backend=22 verdict=TimedOut",
        "",
        "QUERY door=door/9 rid=aa cls=x grade_of_service=y caller=1 remaining_ms=1 cost_units=1 spread=1",
    ],
    100: [
        "QUERY door=door/0 rid=odd cls=video grade_of_service=plain caller=1 remaining_ms=1 cost_units=1 spread=1",
        "QUERY door=door/0 rid=odd cls=read grade_of_service=none caller=99 remaining_ms=1 cost_units=1 spread=1",
        'UP door=door/2 init_seed=1 params={"me": 0}',
    ],
    BATCHES - 5: ["DETACH door=door/0"],
}


def conversation(replies: io.StringIO) -> Iterator[str]:
    """The lines of the simulator, drawn by chance and by what has been answered so far."""
    draw = random.Random(SEED)
    answered = 0
    attempts: dict[tuple[str, str], int] = {}
    for number in range(BATCHES):
        lines = [f"BATCH t_ms={9000 + BATCH_MS * number}"]
        if number == 0:
            lines += [*up("door/0"), up("door/0")[-1].replace("door/0", "door/1")]
            lines.insert(1, f"UP door=door/1 init_seed=3 params={json.dumps(FULL)}")
        lines += SPECIAL.get(number, [])
        replied = replies.getvalue()
        for line in replied[answered:].splitlines():
            lines += reaction(draw, line, attempts)
        answered = len(replied)
        lines += [arrival(draw, number, place) for place in range(draw.choice((0, 1, 1, 2)))]
        lines.append("YOUR_TURN")
        yield from (f"{line}\n" for line in lines)


def arrival(draw: random.Random, number: int, place: int) -> str:
    """One query."""
    door = draw.choice(DOORS)
    customer = draw.randrange(6)
    plans = PLANS[door]
    retry = draw.choice(("", " retry=1"))
    return (
        f"QUERY caller={customer} door={door} rid={number:08x}{place:08x} cls={draw.choice(CLASSES[door])} "
        f"grade_of_service={plans[customer % len(plans)]} remaining_ms={draw.choice((250.0, 900.0, 2500.0))} "
        f"cost_units={draw.choice((0.5, 1, 2.5))} spread=2 from_no={customer % 2}{retry}"
    )


def reaction(draw: random.Random, line: str, attempts: dict[tuple[str, str], int]) -> list[str]:
    """What comes of one line of a reply."""
    name, *words = line.split()
    fields = dict(word.split("=", 1) for word in words if "=" in word)
    door = fields.get("door", "")
    if name == "POST_AMOUNT":
        verdict = draw.choice(("Ok", "Ok", "Ok", "Ok", "TimedOut", "QueueFull"))
        return [
            f"TOTAL door={door} cname={fields['cname']} result_value={draw.uniform(0, 5):.3f} rtt_ms=2.15 "
            f"verdict={verdict}"
        ]
    if name == "SET_ALARM":
        return [f"TICK_DUE door={door} name={fields['name']}"]
    if name == "UNDO_SEND":
        return [
            f"COMPLETED door={door} rid={fields['rid']} hop={fields['hop']} backend=11 verdict=Canceled rtt_ms=1"
        ]
    if name != "HAND_OFF":
        return []
    rid = fields["rid"]
    hop = attempts.get((door, rid), 0)
    attempts[door, rid] = hop + 1
    chance = draw.random()
    if chance < 0.05:
        return [f"LAPSED door={door} rid={rid}"]
    verdict = draw.choice(VERDICTS)
    begun = [f"STARTED door={door} rid={rid}"] if chance < 0.1 and verdict == "Ok" else []
    return [
        *begun,
        f"COMPLETED door={door} rid={rid} hop={hop} backend={fields['backend']} verdict={verdict} "
        f"rtt_ms={draw.expovariate(1 / 90):.3f} ended={int(verdict == 'Ok')} final_units=1 server_stats=3,0.5",
    ]


def spoken() -> tuple[str, str]:
    """The whole conversation: the simulator's lines, and the replies."""
    replies = io.StringIO()
    said: list[str] = []

    def overheard() -> Iterator[str]:
        for line in conversation(replies):
            said.append(line)
            yield line

    serve(cast(TextIO, overheard()), replies)
    return "".join(said), replies.getvalue()


def test_the_conversation_is_the_golden_one() -> None:
    said, replied = spoken()
    assert_golden(INPUT, said.encode())
    assert_golden(REPLIES, replied.encode())


def test_the_golden_lines_get_the_golden_replies() -> None:
    replies = io.StringIO()
    serve(io.StringIO(golden(INPUT).decode()), replies)
    assert_golden(REPLIES, replies.getvalue().encode())


def test_the_conversation_has_every_kind_of_line() -> None:
    said = {line.split(" ")[0] for line in golden(INPUT).decode().splitlines() if line}
    assert said == {
        "BATCH",
        "YOUR_TURN",
        "UP",
        "DETACH",
        "TABLE",
        "BACKEND",
        "UPDATE",
        "QUERY",
        "COMPLETED",
        "TOTAL",
        "TICK_DUE",
        "LAPSED",
        "STARTED",
        "PONG",
        "PEER_DATA",
    }
    replied = {line.split(" ")[0] for line in golden(REPLIES).decode().splitlines()}
    assert replied >= {"HAND_OFF", "BOUNCE", "ABORT", "POST_AMOUNT", "SET_ALARM", "LISTEN", "DIE", "READY"}


# Single lines -----------------------------------------------------------------------------------------

ACTIONS: tuple[api.Action, ...] = (
    api.SendAttempt("r1", 11, 812.34567),
    api.CancelAttempt("r1", 2),
    api.Reject("r2"),
    api.Reject("r2", 20.0, "of a lease"),
    api.Fail("r3"),
    api.AddToCounter(9_223_372_036_854_775_807, 1.23456789, 2500.0),
    api.AddToCounter(7, 0.0, 1.0),
    api.CheckHealth(22),
    api.SetTimer(9000.5, 3),
    api.Subscribe(),
    api.Log("two\nlines  and\tmore"),
)
QUERY = (
    "QUERY door=door/0 rid=aa cls=read grade_of_service=plain caller=5 remaining_ms=900 cost_units=1 spread=2 "
    "from_no=0 retry=0"
)
COMPLETED = (
    "COMPLETED door=door/0 rid=aa hop=0 backend=11 verdict=Ok rtt_ms=1 ended=1 final_units=1 server_stats=1"
)
TOTAL = "TOTAL door=door/0 cname=1 verdict=Ok rtt_ms=1 result_value=1"
UPDATE = "UPDATE door=door/0 scope=total roster_id=0"
PONG = "PONG door=door/0 backend=11 verdict=Ok rtt_ms=1 server_stats=1"
WHOLE = (
    QUERY,
    COMPLETED,
    TOTAL,
    UPDATE,
    PONG,
    "TICK_DUE door=door/0 name=1",
    "LAPSED door=door/0 rid=aa",
    "STARTED door=door/0 rid=aa",
    "DETACH door=door/0",
    "UP door=door/0 init_seed=1 params={}",
)
FAULTY = (
    "NONSENSE door=door/0",
    "QUERY rid",
    "UP door=door/0 init_seed=1 params=[]",
    "UP door=door/0 params={",
    "TABLE roster_id=0 entries=1",
    "TABLE roster_id=0",
    "TABLE entries=1 roster_id=x",
    "UPDATE door=door/0 scope=total roster_id=99",
    "BATCH t_ms=soon",
    "BATCH",
    "BATCH t_ms=inf",
)
WRONG_VALUE = "?"


def variants(line: str) -> Iterator[str]:
    """The line without each of its fields, and with each one's value spoilt."""
    name, *fields = line.split(" ")
    for place, field in enumerate(fields):
        others = fields[:place] + fields[place + 1 :]
        yield " ".join([name, *others])
        yield " ".join([name, *others, f"{field.partition('=')[0]}={WRONG_VALUE}"])


def answer_to(line: str) -> str:
    """What one line gets from an instance that is up: its reply, or the fault that ends the process."""
    replies = io.StringIO()
    before = "\n".join(["BATCH t_ms=9000", *up("door/0")])
    try:
        serve(io.StringIO(f"{before}\n{line}\nYOUR_TURN\n"), replies)
    except WireError as fault:
        return str(fault)
    return " | ".join(replies.getvalue().splitlines())


def lines_told() -> list[str]:
    """Every action as a line, and what spoilt lines get."""
    written = [write_action("door/0", action) for action in ACTIONS]
    spoilt = [*FAULTY, *(variant for line in WHOLE for variant in variants(line))]
    return [*written, *(f"{line} -> {answer_to(line)}" for line in spoilt)]


def test_every_action_and_every_fault_has_its_golden_line() -> None:
    assert_golden(LINES, text_lines(lines_told()))


def test_the_first_line_must_be_a_batch() -> None:
    with pytest.raises(WireError, match=re.escape("line 1: message 'YOUR_TURN': expected BATCH")):
        serve(io.StringIO("YOUR_TURN\n"), io.StringIO())
