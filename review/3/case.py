"""Long values that load servers write in pieces of any size: each has to reach its client whole."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.support import stand_ins as peers
from review.support.case import CannotRunError, run_case

CLASSES = ("balance-check", "load-send")
REQUESTS = 40
INTERVAL_S = 0.5
VALUE_BYTES = 300 * 1024  # over 64 KiB and under 4 MiB
DEADLINE_MS = 2000
PAUSE_S = 0.2  # between two pieces
FIRST_PIECES = (6, 9)  # bytes; the head of the answer goes out in these, the rest in larger ones
LARGE_PIECE = 64 * 1024


class SlowServer(peers.LoadServer):
    """A load server that answers with a long value; with trouble, in pieces with a pause after each."""

    def __init__(self, name: str, ledger: peers.Ledger, record: peers.Record, trouble: bool) -> None:
        super().__init__(name, ledger, record)
        self.trouble = trouble
        self.cut_off: list[str] = []  # ids of requests whose connection ended before the answer was written

    async def answer(
        self, writer: asyncio.StreamWriter, execution: peers.Execution, fields: dict[str, str]
    ) -> None:
        """Write the answer to one request."""
        await asyncio.sleep(self.work_s)
        data = peers.served(value_of(execution.request_id), fields["units"])
        sizes = [*FIRST_PIECES] if self.trouble else []
        offset, started_ms = 0, peers.now_ms()
        try:
            while offset < len(data):
                size = sizes.pop(0) if sizes else LARGE_PIECE if self.trouble else len(data)
                writer.write(data[offset : offset + size])
                await writer.drain()
                offset += size
                if offset < len(data):
                    await asyncio.sleep(PAUSE_S)
                if writer.is_closing():
                    raise ConnectionResetError
        except OSError:
            self.cut_off.append(execution.request_id)
            self.record.write(
                f"server {self.name}: cut off after {min(offset, len(data))} of {len(data)} bytes, "
                f"{peers.now_ms() - started_ms:.0f} ms after the first"
            )
            raise
        self.record.write(
            f"server {self.name}: {len(data)} bytes written in {peers.now_ms() - started_ms:.0f} ms"
        )


def value_of(request_id: str) -> bytes:
    """The value made for a request."""
    return (request_id.encode() * (VALUE_BYTES // len(request_id) + 1))[:VALUE_BYTES]


@dataclass
class Outcome:
    """What a client was told."""

    request_class: str
    request_id: str
    kind: str  # "whole", "foreign", "nothing", or the error line


async def ask(port: int, request_class: str, request_id: str, record: peers.Record) -> Outcome:
    """Send one request on a connection of its own and wait for its answer until its time is up, with its slack."""
    reader, writer = await asyncio.open_connection(peers.HOST, port, limit=8 * 1024 * 1024)
    fields = f"c={request_class},t=dealer,d={DEADLINE_MS},units=1,spread=1,first=0"
    name = "SVC.QUERY" if request_class == "balance-check" else "SVC.SUBMIT"
    writer.write(peers.command(name, f"{random.randrange(1, 50):016x}", request_id, fields))
    started_ms, kind = peers.now_ms(), "nothing"
    with contextlib.suppress(TimeoutError, OSError, asyncio.IncompleteReadError):
        # A stream that has begun is subject to no deadline, so the client goes on reading.
        async with asyncio.timeout(DEADLINE_MS / 1000.0 + 3.0):
            answer = await peers.read_reply(reader)
            kind = answer if isinstance(answer, str) else "foreign"
            if answer == value_of(request_id):
                kind = "whole"
    writer.close()
    record.write(f"client: {request_class} {request_id} after {peers.now_ms() - started_ms:.0f} ms: {kind}")
    return Outcome(request_class, request_id, kind)


async def run(trouble: bool, record: peers.Record, folder: Path) -> bool:
    """Run the case; returns whether the rule held."""
    ledger = peers.Ledger(window_ms=1000.0)
    servers = [SlowServer(f"s-{index}", ledger, record, trouble) for index in range(4)]
    counter = peers.Counter()
    for server in servers:
        await server.start()
    await counter.start()
    discovery = peers.Discovery([peers.listed(server.name, server.port) for server in servers])
    await discovery.start()
    values = peers.settings(0, 1)
    values["classes"][1]["idempotency"] = "at_most_once"  # so that no attempt of a load hides the one before
    gateway = peers.Gateway("n1", folder / "gateway", discovery, counter, values)
    try:
        await gateway.start()
        if not await gateway.ready():
            raise CannotRunError(f"the gateway did not start: {gateway.log()[-500:]}")
        asking = []
        for number in range(REQUESTS):
            request_class, request_id = CLASSES[number % 2], f"{random.getrandbits(64):016x}"
            asking.append(asyncio.ensure_future(ask(gateway.listen_port, request_class, request_id, record)))
            await asyncio.sleep(INTERVAL_S)
        outcomes = await asyncio.gather(*asking)
    finally:
        await gateway.kill()
    cut_off = {request_id for server in servers for request_id in server.cut_off}
    lost = [outcome for outcome in outcomes if outcome.kind != "whole" and outcome.request_id in cut_off]
    for outcome in lost:
        record.say(
            f"LOST: {outcome.request_class} {outcome.request_id}: "
            f"its server was cut off while it answered; the client was told {outcome.kind}"
        )
    whole = sum(outcome.kind == "whole" for outcome in outcomes)
    record.say(f"{len(outcomes)} requests, {whole} whole, {len(lost)} cut off by the gateway and not served")
    return not lost


if __name__ == "__main__":
    run_case(run)
