"""Second copies of answers that come some milliseconds late: is a client ever served another request's value?"""

from __future__ import annotations

import asyncio
import random
import socket
import sys
import time
from collections import deque
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand2"))
import stand

ONE_WAY_S = 0.0024  # "1.4 to 2.6 ms one way" between the halls
SHARE = 0.02 if stand.TROUBLE else 0.0  # of the answers that come twice
EARLIEST_S, LATEST_S = 0.002, 0.012  # "some milliseconds late"
RATE, LENGTH_S = 140.0, 30.0
rng = random.Random(int(time.time()))


class SlowWire(stand.Peer):
    """The way between two halls: everything comes later by the same time, in order."""

    def __init__(self, target: stand.Backend) -> None:
        super().__init__()
        self.target = target

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carry one connection."""
        there_reader, there_writer = await asyncio.open_connection(stand.HOST, self.target.port)
        there_writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        back = asyncio.ensure_future(self._carry(there_reader, writer))
        try:
            await self._carry(reader, there_writer)
            await back
        finally:
            back.cancel()
            there_writer.close()

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        under_way: deque[bytes] = deque()  # b"": the end

        def arrive() -> None:
            if data := under_way.popleft():
                writer.write(data)
            else:
                writer.close()

        while True:
            try:
                data = await reader.read(65536)
            except OSError:
                data = b""
            under_way.append(data)
            loop.call_later(ONE_WAY_S, arrive)
            if not data:
                await asyncio.sleep(2 * ONE_WAY_S)
                return


class TwiceBackend(stand.Backend):
    """A load server some of whose answers come a second time, while nothing waits on their connection."""

    def __init__(self, name: str, record: stand.Record) -> None:
        super().__init__(name, self.answer)
        self.record = record
        self.waiting: dict[asyncio.StreamWriter, str] = {}
        self.second_copies = 0

    async def answer(
        self,
        _backend: stand.Backend,
        ask: stand.Ask,
        writer: asyncio.StreamWriter,
        _reader: asyncio.StreamReader,
    ) -> None:
        """Work, answer, and perhaps answer again a little later."""
        self.waiting[writer] = ask.id
        await asyncio.sleep(rng.uniform(0.01, 0.05))
        reply = stand.served(b"value of " + ask.id.encode(), ask.fields["units"])
        writer.write(reply)
        self.waiting[writer] = ""
        if rng.random() < SHARE:
            late_s = rng.uniform(EARLIEST_S, LATEST_S)
            asyncio.get_running_loop().call_later(late_s, self.again, writer, ask.id, reply, late_s)

    def again(self, writer: asyncio.StreamWriter, request_id: str, reply: bytes, late_s: float) -> None:
        """Send the second copy, unless another request has come or the connection has ended."""
        if self.waiting.get(writer) == "" and not writer.is_closing():
            self.second_copies += 1
            self.record(f"{self.name} second copy for {request_id} after {late_s * 1000:.1f} ms")
            writer.write(reply)


async def body(record: stand.Record, folder: Path) -> int:
    """Send at an even rate, each request on a connection without another one."""
    backends = [TwiceBackend(f"s-{number}", record) for number in range(2)]
    wires = [SlowWire(backend) for backend in backends]
    discovery, counter = stand.Discovery(), stand.Counter()
    for peer in (*backends, *wires, discovery, counter):
        await peer.open()
    for backend, wire in zip(backends, wires, strict=True):
        discovery.put({**backend.entry(), "addr": f"{stand.HOST}:{wire.port}", "zone": "hall-b"})
    gateway = stand.Gateway(0, stand.settings(0, 1), folder, discovery.port, counter.port)
    free: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
    results = {"right": 0, "foreign": 0, "other": 0, "lost": 0}

    async def ask(sequence: int) -> None:
        request_id = f"{sequence:016x}"
        words = stand.fields("balance-check")
        sent = stand.command("SVC.QUERY", f"{1 + sequence % 300:016x}", request_id, words)
        while True:
            kept = free.pop() if free else None
            reader, writer = kept or await asyncio.open_connection(stand.HOST, gateway.port)
            writer.write(sent)
            try:
                answer = await asyncio.wait_for(stand.read_value(reader), 3.0)
                break
            except (TimeoutError, OSError, asyncio.IncompleteReadError) as fault:
                record(f"{request_id} no answer: {type(fault).__name__}")
                writer.close()
                if kept is None or isinstance(fault, TimeoutError):
                    results["lost"] += 1
                    return
                free.clear()  # the end of a resting connection crossed the request: once more on a new one
        free.append((reader, writer))
        if not isinstance(answer, bytes):
            results["other"] += 1
            record(f"{request_id} {answer}")
        elif answer == b"value of " + request_id.encode():
            results["right"] += 1
            record(f"{request_id} served")
        else:
            results["foreign"] += 1
            record(f"{request_id} SERVED A FOREIGN VALUE: {answer.decode()}")

    try:
        await gateway.start()
        start, sequence, tasks = time.time(), 0, set()
        while (due := sequence / RATE) < LENGTH_S:
            await asyncio.sleep(max(start + due - time.time(), 0.0))
            task = asyncio.ensure_future(ask(sequence))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            sequence += 1
        await asyncio.gather(*tasks)
        if gateway.ended:
            record.say("the gateway has ended")
            return stand.BROKEN
    finally:
        await gateway.stop()
        record(gateway.log())
    copies = sum(backend.second_copies for backend in backends)
    record.say(f"{sequence} requests, {copies} second copies sent: {results}")
    if results["right"] < sequence // 4 or (stand.TROUBLE and not copies):
        return stand.COULD_NOT_RUN
    return stand.BROKEN if results["foreign"] else stand.HELD


asyncio.run(stand.play(__file__, body))
