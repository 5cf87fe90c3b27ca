"""A gateway is drained while clients read long values and have sent their next request: does the value arrive whole?"""

from __future__ import annotations

import asyncio
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand2"))
import stand

VALUE_BYTES = 2 * 1024 * 1024  # "up to 4 MiB"
PIECE_BYTES, PAUSE_S = 32 * 1024, 0.08  # a value takes 5 s to read: "peers take seconds to read"
CLIENTS, REQUESTS = 12, 6


def value_of(request_id: str) -> bytes:
    """The value that a backend makes for a request."""
    unit = request_id.encode() + b"."
    size = VALUE_BYTES if request_id.endswith("0") else 100
    return (unit * (size // len(unit) + 1))[:size]


async def give_value(
    backend: stand.Backend, ask: stand.Ask, writer: asyncio.StreamWriter, _reader: asyncio.StreamReader
) -> None:
    """Work, then give the value."""
    await asyncio.sleep(0.05)
    writer.write(stand.served(value_of(ask.id), ask.fields["units"]))


async def call(gateway: stand.Gateway, line: str) -> str:
    """One call at the second address."""
    reader, writer = await asyncio.open_connection(stand.HOST, gateway.mgmt)
    writer.write(line.encode() + b"\n")
    answer = await asyncio.wait_for(reader.readline(), 1.0)
    writer.close()
    return answer.decode().strip()


async def one_client(gateway: stand.Gateway, number: int, record: stand.Record) -> str:
    """Ask for a long value, read it at one pace, and go on using the connection meanwhile."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        await loop.sock_connect(sock, (stand.HOST, gateway.port))
        ids = [f"{number:08x}0000000{index}" for index in range(REQUESTS)]

        async def send() -> None:
            for index, request_id in enumerate(ids):
                words = stand.fields("balance-check")
                message = stand.command("SVC.QUERY", f"{number * 10 + index + 1:016x}", request_id, words)
                try:
                    await loop.sock_sendall(sock, message)
                except OSError as fault:
                    record(f"{request_id} could not be sent: {fault}")
                    return
                record(f"{request_id} sent")
                await asyncio.sleep(0.5 if index else 2.5)

        sending = asyncio.ensure_future(send())
        data = bytearray()
        while True:
            try:
                piece = await asyncio.wait_for(loop.sock_recv(sock, PIECE_BYTES), 5.0)
            except (OSError, TimeoutError) as fault:
                record(f"client {number}: {type(fault).__name__} after {len(data)} bytes")
                break
            if not piece:
                record(f"client {number}: closed after {len(data)} bytes")
                break
            data += piece
            await asyncio.sleep(PAUSE_S)
        sending.cancel()
    first = b"$%d\r\n%b\r\n" % (VALUE_BYTES, value_of(ids[0]))
    if data.startswith(b"-"):
        return "refused"
    return "whole" if data.startswith(first) else "cut"


async def body(record: stand.Record, folder: Path) -> int:
    """Drain the gateway while all clients read."""
    backends = [stand.Backend(f"s-{number}", give_value) for number in range(8)]
    discovery, counter = stand.Discovery(), stand.Counter()
    for peer in (*backends, discovery, counter):
        await peer.open()
    for backend in backends:
        discovery.put(backend.entry())
    gateway = stand.Gateway(0, stand.settings(0, 1), folder, discovery.port, counter.port)
    try:
        await gateway.start()
        asking = [asyncio.ensure_future(one_client(gateway, number, record)) for number in range(CLIENTS)]
        await asyncio.sleep(1.0)
        if stand.TROUBLE:
            record("PAUSE: " + await call(gateway, "PAUSE"))
        results = await asyncio.gather(*asking)
        if gateway.ended:
            return stand.verdict_of_end(gateway, record)
    finally:
        await gateway.stop()
        record(gateway.log())
    record.say(f"{CLIENTS} clients: " + ", ".join(f"{results.count(r)} {r}" for r in sorted(set(results))))
    if results.count("refused") > CLIENTS // 2:
        return stand.COULD_NOT_RUN
    return stand.BROKEN if "cut" in results else stand.HELD


asyncio.run(stand.play(Path(__file__).resolve().with_name("record.txt"), body))
