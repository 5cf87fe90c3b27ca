"""Answers that wait behind costly requests on pipelined connections: does every request get its answer?"""

from __future__ import annotations

import asyncio
import sys
import time
from collections import deque
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand2"))
import stand

VALUE_BYTES = 60 * 1024  # "a value holds no more than 64 KiB"
USUAL_S = 0.065  # mean work: 39 to 68 ms and 65 to 110 ms
COSTLY_TIMES = 28 if stand.TROUBLE else 1  # "cost 5.2 to 30 times the usual work"
COSTLY_EVERY = 39  # 2.6% of one class's requests; "0.64 to 2.7%"
CONNECTIONS = 4
RATE = 140.0  # requests a second at the gateway
LENGTH_S = 14.0  # "for 11 to 24 s"
MEMORY_MB = 64  # "32 to 192 MB"
TIME_S = 2.0


class Client:
    """One connection that sends without waiting for the answers; a new one follows if it is ended."""

    def __init__(self, number: int, gateway: stand.Gateway, record: stand.Record) -> None:
        self.number, self.gateway, self.record = number, gateway, record
        self.waiting: deque[tuple[str, float]] = deque()
        self.served = self.other = self.lost = self.late = self.sends = 0
        self.writer: asyncio.StreamWriter | None = None
        self.reading: asyncio.Task[None] | None = None

    async def send(self, request_id: str, sequence: int) -> None:
        """Send one request behind the others."""
        if self.writer is None:
            reader, self.writer = await asyncio.open_connection(
                stand.HOST, self.gateway.port, limit=1024 * 1024
            )
            self.reading = asyncio.ensure_future(self.read(reader, self.writer))
        safe = sequence % 2 == 0
        verb, request_class = ("SVC.QUERY", "balance-check") if safe else ("SVC.SUBMIT", "load-send")
        customer = f"{1 + sequence % 200:016x}"
        self.waiting.append((request_id, time.time()))
        self.sends += 1
        self.writer.write(stand.command(verb, customer, request_id, stand.fields(request_class)))

    async def read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read the answers in the order of the requests."""
        last = 0.0
        try:
            while True:
                answer = await stand.read_value(reader)
                request_id, sent_at = self.waiting.popleft()
                now = time.time()
                # The time spent waiting for the answers ahead does not count.
                self.late += now - max(sent_at, last) > TIME_S + 0.55
                last = now
                if isinstance(answer, bytes):
                    right = answer == value_of(request_id)
                    self.served += right
                    self.lost += not right
                    self.record(f"{request_id} {'served' if right else 'WRONG VALUE'}")
                else:
                    self.other += 1
                    self.record(f"{request_id} {answer}")
        except (OSError, asyncio.IncompleteReadError) as fault:
            if self.writer is writer:
                self.writer = None
            waiting, self.waiting = self.waiting, deque()
            self.lost += len(waiting)
            ids = " ".join(request_id for request_id, _ in waiting)
            self.record(f"connection ended by the gateway ({type(fault).__name__}), unanswered: {ids}")
            writer.close()


def value_of(request_id: str) -> bytes:
    """The value that a backend makes for a request."""
    return (request_id.encode() * (VALUE_BYTES // 16 + 1))[:VALUE_BYTES]


def is_costly(request_id: str) -> bool:
    """Whether a request costs more than usual: by its number, the same at every backend."""
    sequence = int(request_id, 16)
    return sequence % 2 == 1 and (sequence // 2) % COSTLY_EVERY == 7


async def give_value(
    backend: stand.Backend, ask: stand.Ask, writer: asyncio.StreamWriter, _reader: asyncio.StreamReader
) -> None:
    """Work, longer for a costly request, then give a value."""
    await asyncio.sleep(USUAL_S * (COSTLY_TIMES if is_costly(ask.id) else 1))
    writer.write(stand.served(value_of(ask.id), ask.fields["units"]))


async def body(record: stand.Record, folder: Path) -> int:
    """Send at an even rate over a few connections."""
    backends = [stand.Backend(f"s-{number}", give_value) for number in range(8)]
    discovery, counter = stand.Discovery(), stand.Counter()
    for peer in (*backends, discovery, counter):
        await peer.open()
    for backend in backends:
        discovery.put(backend.entry())
    table = stand.settings(0, 1)
    table["classes"][1]["idempotency"] = "at_most_once"  # "the settings mark a class as unsafe to repeat"
    gateway = stand.Gateway(0, table, folder, discovery.port, counter.port, memory_mb=MEMORY_MB)
    try:
        await gateway.start()
        clients = [Client(number, gateway, record) for number in range(CONNECTIONS)]
        start, sequence = time.time(), 0
        while (due := sequence / RATE) < LENGTH_S:
            await asyncio.sleep(max(start + due - time.time(), 0.0))
            # Runs of requests of one connection, so that costly ones do not all meet the same connection.
            await clients[(sequence // 2) % CONNECTIONS].send(f"{sequence:016x}", sequence)
            sequence += 1
        until = time.time() + 10.0
        while any(client.waiting for client in clients) and time.time() < until:
            await asyncio.sleep(0.05)
        never = sum(len(client.waiting) for client in clients)
        status = Path(f"/proc/{gateway.process.pid}/status") if gateway.process else None
        if status is not None and status.exists():
            lines = status.read_text().splitlines()
            record.say("memory of the gateway: " + next(line for line in lines if line.startswith("VmHWM")))
        if gateway.ended:
            return stand.verdict_of_end(gateway, record)
    finally:
        await gateway.stop()
        record(gateway.log())
    served, other = sum(client.served for client in clients), sum(client.other for client in clients)
    lost, late = sum(client.lost for client in clients) + never, sum(client.late for client in clients)
    record.say(
        f"{sequence} requests: {served} served, {other} refused or failed, {lost} taken and never answered, "
        f"{late} late"
    )
    if served < sequence // 4:
        return stand.COULD_NOT_RUN
    return stand.BROKEN if lost else stand.HELD


asyncio.run(stand.play(Path(__file__).resolve().with_name("record.txt"), body))
