"""Planned restarts of a gateway under Diameter load: each debit that it takes and a server runs has to be answered."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.support import stand_ins as peers
from review.support.case import CannotRunError, run_case

CYCLES = 8  # planned restarts of the gateway in one run
CONNECTIONS = 14
REQUESTS_PER_S = 140.0  # of all connections together: the most that the pages send to a usual gateway
TRAFFIC_S = 1.5  # before the restart begins
LINK_DELAY_S = 0.002  # one way between two halls: 1.4 to 2.6 ms
WORK_S = 0.02
END_WAIT_S = 6.0  # SIGKILL follows SIGTERM after 3 s and 0.7 s at the earliest


@dataclass
class Client:
    """One Diameter connection: sends debits at random moments, answers a DPR at once and then sends no more."""

    name: str
    record: peers.Record
    debits: list[peers.Debit] = field(default_factory=list)
    sending: bool = True
    writer: asyncio.StreamWriter | None = None

    async def connect(self, port: int) -> asyncio.StreamReader:
        """Connect and exchange capabilities."""
        reader, self.writer = await asyncio.open_connection(peers.HOST, port)
        self.writer.write(peers.capabilities(self.name))
        answer = await peers.read_message(reader)
        if answer.result_code() != peers.SUCCESS:
            raise ConnectionError(f"capabilities exchange: {answer.result_code()}")
        return reader

    async def send(self, rate: float) -> None:
        """Send debits until told to stop."""
        assert self.writer is not None
        number = 0
        while True:
            await asyncio.sleep(random.expovariate(rate))
            if not self.sending or self.writer.is_closing():
                return
            number += 1
            now_ms = peers.now_ms()
            debit = peers.Debit(f"{self.name};{number}", random.getrandbits(32), now_ms, int(now_ms / 1000))
            self.debits.append(debit)
            self.writer.write(debit.encode(self.name, number))
            self.record.write(f"client {self.name} sends {debit.session_id}")

    async def receive(self, reader: asyncio.StreamReader) -> None:
        """Read answers until the connection ends."""
        assert self.writer is not None
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                message = await peers.read_message(reader)
                if message.is_request:
                    self.record.write(f"client {self.name} receives request {message.code}, answers success")
                    if message.code == peers.DISCONNECT:
                        self.sending = False
                    self.writer.write(peers.base_answer(message, self.name))
                elif message.code == peers.CREDIT_CONTROL:
                    debit = self.debits[message.hop_by_hop - 1]
                    debit.answered_ms, debit.result = peers.now_ms(), message.result_code()
                    self.record.write(f"client {self.name}: {debit.session_id} answered {debit.result}")
        self.sending = False
        self.record.write(f"client {self.name}: the connection has ended")
        self.writer.close()


async def cycle(
    number: int,
    trouble: bool,
    gateway: peers.Gateway,
    proxy: peers.DelayProxy,
    record: peers.Record,
) -> list[peers.Debit]:
    """Start the gateway, send to it, end it as planned; returns the debits."""
    await gateway.start()
    if not await gateway.ready():
        raise CannotRunError(f"the gateway did not start: {gateway.log()[-500:]}")
    clients = [Client(f"c{number}-{index}.clients.example", record) for index in range(CONNECTIONS)]
    readers = [await client.connect(proxy.port) for client in clients]
    receiving = [asyncio.ensure_future(c.receive(r)) for c, r in zip(clients, readers, strict=True)]
    sending = [asyncio.ensure_future(client.send(REQUESTS_PER_S / CONNECTIONS)) for client in clients]
    await asyncio.sleep(TRAFFIC_S)
    if trouble:
        record.write("SIGTERM to the gateway")
        gateway.send_signal(signal.SIGTERM)
        # Clients go on until the gateway ends their connection.
        await asyncio.wait(receiving, timeout=END_WAIT_S)
    else:
        await asyncio.sleep(0.5)
        for client in clients:
            client.sending = False
        await asyncio.wait(sending, timeout=1.0)
        await asyncio.sleep(2.1)  # the deadline of the class and its slack
    for task in sending:
        task.cancel()
    deadline_s = time.monotonic() + END_WAIT_S
    while trouble and gateway.running and time.monotonic() < deadline_s:
        await asyncio.sleep(0.02)
    record.write(f"gateway's exit code: {gateway.exit_code}")
    await gateway.kill()
    await asyncio.wait(receiving, timeout=1.0)
    return [debit for client in clients for debit in client.debits]


async def run(trouble: bool, record: peers.Record, folder: Path) -> bool:
    """Run the case; returns whether the rule held."""
    ledger = peers.Ledger(window_ms=1000.0)
    servers = [peers.LoadServer(f"s-{index}", ledger, record, WORK_S) for index in range(4)]
    counter = peers.Counter()
    for server in servers:
        await server.start()
    await counter.start()
    discovery = peers.Discovery([peers.listed(server.name, server.port) for server in servers])
    await discovery.start()
    diameter_port = peers.free_port()
    proxy = peers.DelayProxy(diameter_port, LINK_DELAY_S)
    await proxy.start()
    sent = lost = never_read = 0
    for number in range(CYCLES):
        gateway = peers.Gateway(
            "n1", folder / f"cycle-{number}", discovery, counter, peers.settings(0, 2), diameter_port
        )
        try:
            debits = await cycle(number, trouble, gateway, proxy, record)
        finally:
            await gateway.kill()
        unanswered = [debit for debit in debits if not debit.answered_ms]
        run_unanswered = [debit for debit in unanswered if ledger.runs_of(debit.session_id.encode())]
        for debit in run_unanswered:
            record.say(
                f"LOST: {debit.session_id} was taken and run, and its connection ended without an answer"
            )
        sent, lost = sent + len(debits), lost + len(run_unanswered)
        never_read += len(unanswered) - len(run_unanswered)
    record.say(
        f"{sent} debits sent, {lost} taken, run and never answered, {never_read} that no server has seen unanswered"
    )
    return not lost


if __name__ == "__main__":
    run_case(run)
