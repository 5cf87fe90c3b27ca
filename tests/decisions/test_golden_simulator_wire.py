"""The simulator's text protocol: a golden conversation with every kind of line, and the exact replies."""

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
# Messages that are sent once, by the number of their batch.
ADDITIONAL_LINES = {
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
    """Return the simulator's lines, which depend on random numbers and on the replies so far."""
    rng = random.Random(SEED)
    reply_length = 0
    attempts: dict[tuple[str, str], int] = {}
    for number in range(BATCHES):
        lines = [f"BATCH t_ms={9000 + BATCH_MS * number}"]
        if number == 0:
            lines += [*up("door/0"), up("door/0")[-1].replace("door/0", "door/1")]
            lines.insert(1, f"UP door=door/1 init_seed=3 params={json.dumps(FULL)}")
        lines += ADDITIONAL_LINES.get(number, [])
        reply_text = replies.getvalue()
        for line in reply_text[reply_length:].splitlines():
            lines += lines_after_reply(rng, line, attempts)
        reply_length = len(reply_text)
        lines += [query_line(rng, number, position) for position in range(rng.choice((0, 1, 1, 2)))]
        lines.append("YOUR_TURN")
        yield from (f"{line}\n" for line in lines)


def query_line(rng: random.Random, number: int, position: int) -> str:
    """Return one QUERY line."""
    door = rng.choice(DOORS)
    customer = rng.randrange(6)
    plans = PLANS[door]
    retry = rng.choice(("", " retry=1"))
    return (
        f"QUERY caller={customer} door={door} rid={number:08x}{position:08x} cls={rng.choice(CLASSES[door])} "
        f"grade_of_service={plans[customer % len(plans)]} remaining_ms={rng.choice((250.0, 900.0, 2500.0))} "
        f"cost_units={rng.choice((0.5, 1, 2.5))} spread=2 from_no={customer % 2}{retry}"
    )


def lines_after_reply(rng: random.Random, line: str, attempts: dict[tuple[str, str], int]) -> list[str]:
    """Return the simulator's lines that follow one line of a reply."""
    name, *words = line.split()
    fields = dict(word.split("=", 1) for word in words if "=" in word)
    door = fields.get("door", "")
    if name == "POST_AMOUNT":
        verdict = rng.choice(("Ok", "Ok", "Ok", "Ok", "TimedOut", "QueueFull"))
        return [
            f"TOTAL door={door} cname={fields['cname']} result_value={rng.uniform(0, 5):.3f} rtt_ms=2.15 "
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
    request_id = fields["rid"]
    hop = attempts.get((door, request_id), 0)
    attempts[door, request_id] = hop + 1
    random_value = rng.random()
    if random_value < 0.05:
        return [f"LAPSED door={door} rid={request_id}"]
    verdict = rng.choice(VERDICTS)
    response_started = (
        [f"STARTED door={door} rid={request_id}"] if random_value < 0.1 and verdict == "Ok" else []
    )
    return [
        *response_started,
        f"COMPLETED door={door} rid={request_id} hop={hop} backend={fields['backend']} verdict={verdict} "
        f"rtt_ms={rng.expovariate(1 / 90):.3f} ended={int(verdict == 'Ok')} final_units=1 server_stats=3,0.5",
    ]


def run_conversation() -> tuple[str, str]:
    """Run the whole conversation; returns the simulator's lines and the replies."""
    replies = io.StringIO()
    sent_lines: list[str] = []

    def record_lines() -> Iterator[str]:
        for line in conversation(replies):
            sent_lines.append(line)
            yield line

    serve(cast(TextIO, record_lines()), replies)
    return "".join(sent_lines), replies.getvalue()


def test_the_conversation_equals_the_golden_one() -> None:
    sent_lines, reply_text = run_conversation()
    assert_golden(INPUT, sent_lines.encode())
    assert_golden(REPLIES, reply_text.encode())


def test_the_golden_lines_get_the_golden_replies() -> None:
    replies = io.StringIO()
    serve(io.StringIO(golden(INPUT).decode()), replies)
    assert_golden(REPLIES, replies.getvalue().encode())


def test_the_conversation_has_every_kind_of_line() -> None:
    sent_names = {line.split(" ")[0] for line in golden(INPUT).decode().splitlines() if line}
    assert sent_names == {
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
    reply_names = {line.split(" ")[0] for line in golden(REPLIES).decode().splitlines()}
    assert reply_names >= {
        "HAND_OFF",
        "BOUNCE",
        "ABORT",
        "POST_AMOUNT",
        "SET_ALARM",
        "LISTEN",
        "DIE",
        "READY",
    }


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
VALID = (
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
MALFORMED = (
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
    """Return the line with each of its fields left out, and with each of its values made invalid."""
    name, *fields = line.split(" ")
    for position, field in enumerate(fields):
        other_fields = fields[:position] + fields[position + 1 :]
        yield " ".join([name, *other_fields])
        yield " ".join([name, *other_fields, f"{field.partition('=')[0]}={WRONG_VALUE}"])


def reply_to(line: str) -> str:
    """Return the reply of a started gateway to one line, or the error that ends the process."""
    replies = io.StringIO()
    setup_lines = "\n".join(["BATCH t_ms=9000", *up("door/0")])
    try:
        serve(io.StringIO(f"{setup_lines}\n{line}\nYOUR_TURN\n"), replies)
    except WireError as error:
        return str(error)
    return " | ".join(replies.getvalue().splitlines())


def golden_lines() -> list[str]:
    """Return every action as a line, and malformed lines with their replies."""
    written = [write_action("door/0", action) for action in ACTIONS]
    malformed = [*MALFORMED, *(variant for line in VALID for variant in variants(line))]
    return [*written, *(f"{line} -> {reply_to(line)}" for line in malformed)]


def test_every_action_and_every_error_equals_its_golden_line() -> None:
    assert_golden(LINES, text_lines(golden_lines()))


def test_the_first_line_must_be_a_batch() -> None:
    with pytest.raises(WireError, match=re.escape("line 1: message 'YOUR_TURN': expected BATCH")):
        serve(io.StringIO("YOUR_TURN\n"), io.StringIO())
