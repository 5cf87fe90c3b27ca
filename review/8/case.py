"""Clients that take seconds to read a long value: does the gateway cut the end of it off?"""

from __future__ import annotations

import asyncio
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand2"))
import stand

LONGEST_BYTES = 4 * 1024 * 1024  # "up to 4 MiB"
FINE_BYTES, COARSE_BYTES = 380, 2800  # the steps between the lengths of the values
CLIENTS, AT_ONCE = 512, 128
PIECE_BYTES = 32 * 1024
PAUSE_S = 0.125 if stand.TROUBLE else 0.0  # about 260 KB a second: a value takes 10 to 16 s


def value_of(request_id: str, size: int) -> bytes:
    """The value that a backend makes for a request."""
    unit = request_id.encode() + b"."
    return (unit * (size // len(unit) + 1))[:size]


def size_for(request_id: str) -> int:
    """The length of a request's value: near the longest for most clients, over a wide range for the others."""
    number = int(request_id, 16) // 1000
    return LONGEST_BYTES - (COARSE_BYTES if number % 4 == 3 else FINE_BYTES) * number


async def give_long_value(
    backend: stand.Backend, ask: stand.Ask, writer: asyncio.StreamWriter, _reader: asyncio.StreamReader
) -> None:
    """Work for 40 ms, then give the value at once."""
    await asyncio.sleep(0.04)
    writer.write(stand.served(value_of(ask.id, size_for(ask.id)), ask.fields["units"]))


async def read_answer(sock: socket.socket) -> bytes | str:
    """Read one answer piece by piece; an error line, or how the answer was cut, as text."""
    loop = asyncio.get_running_loop()
    data, wanted = bytearray(), 0
    while not wanted or len(data) < wanted:
        try:
            piece = await loop.sock_recv(sock, PIECE_BYTES)
        except OSError as fault:
            return f"CUT by a reset after {len(data)} of {wanted} bytes: {fault}"
        if not piece:
            return f"CUT by a close after {len(data)} of {wanted} bytes"
        data += piece
        if not wanted and b"\r\n" in data:
            head = bytes(data[: data.index(b"\r\n")])
            if head[:1] == b"-":
                return head.decode()
            wanted = len(head) + 2 + int(head[1:]) + 2
        await asyncio.sleep(PAUSE_S)
    return bytes(data[data.index(b"\r\n") + 2 : -2])


async def one_client(gateway: stand.Gateway, number: int, record: stand.Record) -> str:
    """Ask until the gateway takes the request; returns what came of it."""
    loop = asyncio.get_running_loop()
    for attempt in range(60):
        request_id = f"{number * 1000 + attempt:016x}"
        with socket.socket() as sock:
            sock.setblocking(False)
            await loop.sock_connect(sock, (stand.HOST, gateway.port))
            words = stand.fields("balance-check")
            await loop.sock_sendall(sock, stand.command("SVC.QUERY", f"{number + 1:016x}", request_id, words))
            answer = await read_answer(sock)
        if isinstance(answer, bytes):
            right = answer == value_of(request_id, size_for(request_id))
            record(f"{request_id} {'served whole' if right else 'WRONG VALUE'}, {len(answer)} bytes")
            return "whole" if right else "wrong"
        record(f"{request_id} {answer}")
        if not answer.startswith("-"):
            return "cut"
        await asyncio.sleep(0.2)
    return "refused"


async def body(record: stand.Record, folder: Path) -> int:
    """Let waves of clients read long values."""
    backends = [stand.Backend(f"s-{number}", give_long_value) for number in range(8)]
    discovery, counter = stand.Discovery(), stand.Counter()
    for peer in (*backends, discovery, counter):
        await peer.open()
    for backend in backends:
        discovery.put(backend.entry())
    gateway = stand.Gateway(0, stand.settings(0, 1), folder, discovery.port, counter.port)
    results: list[str] = []
    try:
        await gateway.start()
        for first in range(0, CLIENTS, AT_ONCE):
            wave = range(first, min(first + AT_ONCE, CLIENTS))
            results += await asyncio.gather(*(one_client(gateway, number, record) for number in wave))
        if gateway.ended:
            return stand.verdict_of_end(gateway, record)
    finally:
        await gateway.stop()
        record(gateway.log())
    record.say(
        f"{len(results)} clients: " + ", ".join(f"{results.count(r)} {r}" for r in sorted(set(results)))
    )
    if results.count("refused") > CLIENTS // 4:
        return stand.COULD_NOT_RUN
    return stand.BROKEN if "cut" in results or "wrong" in results else stand.HELD


asyncio.run(stand.play(Path(__file__).resolve().with_name("record.txt"), body))
