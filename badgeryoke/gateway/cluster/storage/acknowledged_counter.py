"""The number of the last acknowledged transaction, in a small file beside the database.

The file is written after each commit and not synced: it is exact after a crash of the process, and may be older after
a crash of the machine.  A number above that of the database shows that acknowledged transactions are lost.
"""

from __future__ import annotations

import os
import struct
import zlib
from pathlib import Path

from badgeryoke.gateway.cluster.storage.format import ACKNOWLEDGED_FILE, DamagedRecord

_NUMBER_BYTES = 8
_RECORD = struct.Struct(">QI")  # the number, and the CRC-32 of its bytes
_FILE_MODE = 0o600


class AcknowledgedCounter:
    """The open counter file; as a context manager, it closes the file."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    @classmethod
    def open(cls, directory: Path) -> AcknowledgedCounter:
        """Open the file of a store, or create an empty one.  Raises OSError."""
        return cls(os.open(directory / ACKNOWLEDGED_FILE, os.O_RDWR | os.O_CREAT, _FILE_MODE))

    @classmethod
    def create(cls, directory: Path) -> None:
        """Create and sync the file of a new store, with the number 0.  Raises OSError."""
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC
        with cls(os.open(directory / ACKNOWLEDGED_FILE, flags, _FILE_MODE)) as counter:
            counter.write(0)
            os.fsync(counter._descriptor)

    @classmethod
    def open_existing(cls, directory: Path) -> AcknowledgedCounter:
        """Open the file read-only.  Raises OSError, FileNotFoundError if there is none."""
        return cls(os.open(directory / ACKNOWLEDGED_FILE, os.O_RDONLY | os.O_CLOEXEC))

    def write(self, transaction_number: int) -> None:
        """Record that a transaction was acknowledged.  Raises OSError."""
        number = transaction_number.to_bytes(_NUMBER_BYTES, "big")
        os.pwrite(self._descriptor, number + zlib.crc32(number).to_bytes(4, "big"), 0)

    def read(self) -> int:
        """The last number written.  Raises DamagedRecord or OSError."""
        raw = os.pread(self._descriptor, _RECORD.size, 0)
        if len(raw) != _RECORD.size or zlib.crc32(raw[:_NUMBER_BYTES]) != _RECORD.unpack(raw)[1]:
            raise DamagedRecord("the counter of acknowledged transactions is corrupt")
        return int(_RECORD.unpack(raw)[0])

    def close(self) -> None:
        """Close the file.  Must be called only once: the descriptor may be reused afterwards."""
        os.close(self._descriptor)

    def __enter__(self) -> AcknowledgedCounter:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()
