"""A debit that its client retries over a new connection, through another gateway, must not be charged twice."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.support import stand_ins as peers
from review.support.case import CannotRunError, run_case

TRIALS = 20
ROOMS = ("room-a", "room-b", "room-c")
SERVERS = 9
GATEWAYS = 3
WINDOW_MS = 8000.0  # the servers of one room drop a repeat for this long
DEADLINE_MS = 8000.0
WORK_S = 0.3
RETRY_AFTER_S = 0.15  # the client's connection is reset this long after its debit
CLIENT = "c1.clients.example"


def settings(index: int) -> dict[str, Any]:
    """The settings of the second deployment, as its page and site file give them."""
    values = peers.settings(index, GATEWAYS)
    status, start = values["classes"]
    status |= {"name": "job-status", "slo_ms": 1500.0, "deadline_ms": 4000.0}
    start |= {"name": "job-start", "slo_ms": 2500.0, "deadline_ms": DEADLINE_MS}
    start |= {"group": "zone", "window_ms": WINDOW_MS}
    return values | {"zones": list(ROOMS), "zone": ROOMS[index]}


async def connect(port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a client's connection to a gateway and exchange capabilities."""
    reader, writer = await asyncio.open_connection(peers.HOST, port)
    writer.write(peers.capabilities(CLIENT))
    if (await peers.read_message(reader)).result_code() != peers.SUCCESS:
        raise CannotRunError("the capabilities exchange failed")
    return reader, writer


async def answer_of(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> int:
    """Wait for the answer to the debit; 0 if none comes in time."""
    with contextlib.suppress(TimeoutError, OSError, asyncio.IncompleteReadError):
        async with asyncio.timeout(2.5):
            while True:
                message = await peers.read_message(reader)
                if message.code == peers.CREDIT_CONTROL and not message.is_request:
                    return message.result_code()
                writer.write(peers.base_answer(message, CLIENT))
    return 0


async def trial(
    number: int, trouble: bool, gateways: list[peers.Gateway], record: peers.Record
) -> peers.Debit:
    """Send one debit; with trouble, its connection is reset and the client retries through the next gateway."""
    first_gateway, next_gateway = gateways[number % GATEWAYS], gateways[(number + 1) % GATEWAYS]
    reader, writer = await connect(first_gateway.diameter_port or 0)
    now_ms = peers.now_ms()
    debit = peers.Debit(f"{CLIENT};{number}", random.getrandbits(32), now_ms, int(now_ms // 1000))
    writer.write(debit.encode(CLIENT, number + 1))
    record.write(f"client sends {debit.session_id} to {first_gateway.name}")
    if trouble:
        await asyncio.sleep(RETRY_AFTER_S)
        writer.transport.abort()
        record.write(f"the connection to {first_gateway.name} is reset")
        reader, writer = await connect(next_gateway.diameter_port or 0)
        writer.write(debit.encode(CLIENT, number + 1, retransmitted=True))
        record.write(f"client sends {debit.session_id} again to {next_gateway.name}, with the T flag")
    debit.result = await answer_of(reader, writer)
    record.write(f"client: {debit.session_id} is answered {debit.result}")
    writer.close()
    await asyncio.sleep(WORK_S)
    return debit


async def run(trouble: bool, record: peers.Record, folder: Path) -> bool:
    """Run the case; returns whether the rule held."""
    ledger = peers.Ledger(WINDOW_MS)
    rooms = [ROOMS[index % len(ROOMS)] for index in range(SERVERS)]
    servers = [
        peers.LoadServer(f"s-{index}/{room}", ledger, record, WORK_S, room)
        for index, room in enumerate(rooms)
    ]
    counter = peers.Counter()
    for server in servers:
        await server.start()
    await counter.start()
    discovery = peers.Discovery([peers.listed(server.name, server.port, server.group) for server in servers])
    await discovery.start()
    gateways = [
        peers.Gateway(name, folder / name, discovery, counter, settings(index), peers.free_port())
        for index, name in enumerate(("n1", "n2", "n3"))
    ]
    twice = answered = 0
    try:
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            if not await gateway.ready():
                raise CannotRunError(f"the gateway did not start: {gateway.log()[-500:]}")
        for number in range(TRIALS):
            debit = await trial(number, trouble, gateways, record)
            answered += debit.result == peers.SUCCESS
            runs = ledger.runs_of(debit.session_id.encode())
            if len(runs) > 1:
                twice += 1
                record.say(
                    f"TWICE: {debit.session_id} has run at {' and at '.join(run.server for run in runs)}, "
                    f"{runs[1].at_ms - runs[0].at_ms:.0f} ms apart"
                )
    finally:
        for gateway in gateways:
            await gateway.kill()
    record.say(f"{TRIALS} debits, {answered} answered with success, {twice} run twice")
    return not twice


if __name__ == "__main__":
    run_case(run)
