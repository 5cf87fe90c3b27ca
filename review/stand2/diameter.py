"""A credit-control server that speaks Diameter (RFC 6733, RFC 8506); standard library only."""

from __future__ import annotations

import asyncio
import struct
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
import stand

CREDIT_CONTROL, CAPABILITIES, DISCONNECT = 272, 257, 282
SUCCESS = 2001


def avp(code: int, data: bytes | str | int) -> bytes:
    """Encode an AVP with its M bit set; a number is an Unsigned32."""
    raw = (
        struct.pack(">I", data) if isinstance(data, int) else data.encode() if isinstance(data, str) else data
    )
    return struct.pack(">II", code, 0x40 << 24 | 8 + len(raw)) + raw + b"\0" * (-len(raw) % 4)


def read_avps(body: bytes) -> dict[int, bytes]:
    """The data of the AVPs by code; of several with one code, the first."""
    values: dict[int, bytes] = {}
    at = 0
    while at < len(body):
        code, word = struct.unpack_from(">II", body, at)
        head, length = (12 if word >> 31 else 8), word & 0xFFFFFF
        values.setdefault(code, body[at + head : at + length])
        at += length + (-length % 4)
    return values


@dataclass
class Request:
    """A request that has been received."""

    command: int
    application: int
    hop_by_hop: int
    end_to_end: int
    avps: dict[int, bytes]

    def answer(self, body: bytes) -> bytes:
        """Encode the answer to it."""
        head = (1 << 24 | 20 + len(body), self.command, self.application, self.hop_by_hop, self.end_to_end)
        return struct.pack(">IIIII", *head) + body


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one message."""
    first, second, application, hop_by_hop, end_to_end = struct.unpack(">IIIII", await reader.readexactly(20))
    body = await reader.readexactly((first & 0xFFFFFF) - 20)
    return Request(second & 0xFFFFFF, application, hop_by_hop, end_to_end, read_avps(body))


@dataclass
class Seen:
    """What all servers know together: requests by Origin-Host and End-to-End Identifier, and the debits that ran."""

    window_s: float
    answers: dict[tuple[bytes, int], tuple[float, bytes]] = field(default_factory=dict)
    debits: list[tuple[float, str, str]] = field(default_factory=list)  # time, customer, Session-Id
    repeats: int = 0


class DiameterServer(stand.Peer):
    """A load server; it answers a repeat like the first request and does not run it again (RFC 6733, section 3)."""

    def __init__(self, name: str, seen: Seen, record: stand.Record) -> None:
        super().__init__()
        self.name, self.seen, self.record = name, seen, record

    def entry(self) -> dict[str, object]:
        """This server as discovery lists it."""
        return {
            "id": self.name,
            "addr": f"{stand.HOST}:{self.port}",
            "zone": "hall-a",
            "kind": "diameter",
            "cell": 0,
            "state": "active",
            "weight": 1.0,
            "started_ms": 0,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        identity = avp(264, f"{self.name}.yoke.example") + avp(296, "yoke.example")
        while True:
            request = await read_request(reader)
            if request.command == CREDIT_CONTROL:
                await asyncio.sleep(0.03)
                writer.write(request.answer(identity + self.debit(request)))
                continue
            application = avp(258, 4) if request.command == CAPABILITIES else b""
            writer.write(request.answer(avp(268, SUCCESS) + identity + application))

    def debit(self, request: Request) -> bytes:
        """Run a debit, or find the answer to the request that it repeats; returns the answer's AVPs."""
        now, key = time.time(), (request.avps[264], request.end_to_end)
        session = request.avps[263].decode()
        ran_at, answer = self.seen.answers.get(key, (0.0, b""))
        if answer and now - ran_at < self.seen.window_s:
            self.seen.repeats += 1
            self.record(f"{self.name} a repeat by its End-to-End Identifier {key[1]:08x}: {session}")
            return answer
        customer = read_avps(request.avps[443])[444].decode()
        self.seen.debits.append((now, customer, session))
        self.record(f"{self.name} debit of {customer}, End-to-End Identifier {key[1]:08x}: {session}")
        value = avp(440, avp(441, 1) + avp(442, f"charged {customer}"))
        granted = avp(431, avp(417, read_avps(request.avps[437])[417]))
        answer = (
            avp(263, session) + avp(268, SUCCESS) + avp(258, 4) + avp(416, 4) + avp(415, 0) + granted + value
        )
        self.seen.answers[key] = now, answer
        return answer
