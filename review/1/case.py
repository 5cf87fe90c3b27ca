"""A debit that its client retries through another gateway must not be charged twice."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.support import stand_ins as peers
from review.support.case import CannotRunError, run_case

TRIALS = 8
WINDOW_MS = 400.0  # servers drop a repeat of a key for this long
CUT_S = 0.45  # how long the first gateway does not reach the load servers
RETRY_AFTER_S = 0.03  # the client's connection is reset this long after its debit
PAUSE_S = 3.0  # between two trials: over the deadline and its slack
IDLE_S = 0.2  # load servers close connections that have been idle for this long
CLIENT = "c1.clients.example"


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
        async with asyncio.timeout(2.6):
            while True:
                message = await peers.read_message(reader)
                if message.code == peers.CREDIT_CONTROL and not message.is_request:
                    return message.result_code()
                writer.write(peers.base_answer(message, CLIENT))
    return 0


async def trial(
    number: int,
    trouble: bool,
    gateways: list[peers.Gateway],
    links: list[peers.CuttableLink],
    record: peers.Record,
) -> peers.Debit:
    """Send one debit; with trouble, its first gateway is cut off from the servers and the client goes elsewhere."""
    first_reader, first = await connect(gateways[0].diameter_port or 0)
    now_ms = peers.now_ms()
    await asyncio.sleep((1000.0 - now_ms % 1000.0) / 1000.0)
    if trouble:
        record.write("the first gateway's links to the load servers are cut")
        for link in links:
            link.cut()
        asyncio.get_running_loop().call_later(CUT_S, lambda: [link.restore() for link in links])
    now_ms = peers.now_ms()
    debit = peers.Debit(f"{CLIENT};{number}", random.getrandbits(32), now_ms, int(now_ms // 1000))
    first.write(debit.encode(CLIENT, number + 1))
    record.write(f"client sends {debit.session_id} to {gateways[0].name}")
    if not trouble:
        debit.result = await answer_of(first_reader, first)
        record.write(f"client: {debit.session_id} answered {debit.result} by {gateways[0].name}")
    else:
        await asyncio.sleep(RETRY_AFTER_S)
        first.transport.abort()
        record.write(f"the connection to {gateways[0].name} is reset")
        reader, second = await connect(gateways[1].diameter_port or 0)
        second.write(debit.encode(CLIENT, number + 1, retransmitted=True))
        record.write(f"client sends {debit.session_id} again to {gateways[1].name}, with the T flag")
        debit.result = await answer_of(reader, second)
        record.write(f"client: {debit.session_id} answered {debit.result} by {gateways[1].name}")
        second.close()
    first.close()
    await asyncio.sleep(PAUSE_S)
    return debit


async def run(trouble: bool, record: peers.Record, folder: Path) -> bool:
    """Run the case; returns whether the rule held."""
    ledger = peers.Ledger(WINDOW_MS)
    servers = [peers.LoadServer(f"s-{index}", ledger, record, idle_s=IDLE_S) for index in range(4)]
    counter = peers.Counter()
    for server in servers:
        await server.start()
    await counter.start()
    links = [peers.CuttableLink(server.port) for server in servers]
    lists = [
        [peers.listed(server.name, link.port) for server, link in zip(servers, links, strict=True)],
        [peers.listed(server.name, server.port) for server in servers],
    ]
    gateways = []
    for index, listed in enumerate(lists):
        discovery = peers.Discovery(listed)
        await discovery.start()
        values = peers.settings(index, 2, WINDOW_MS)
        name = f"n{index + 1}"
        gateways.append(
            peers.Gateway(name, folder / name, discovery, counter, values, diameter_port=peers.free_port())
        )
    twice = answered = 0
    try:
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            if not await gateway.ready():
                raise CannotRunError(f"the gateway did not start: {gateway.log()[-500:]}")
        for number in range(TRIALS):
            debit = await trial(number, trouble, gateways, links, record)
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
