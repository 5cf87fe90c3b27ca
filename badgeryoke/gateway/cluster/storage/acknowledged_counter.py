"""The number of the last acknowledged transaction, in a small file beside the database.

It is written after each commit and not synced: exact after a process has died, perhaps older after the machine has.
A number above that of the database shows that acknowledged transactions are gone.
"""

from __future__ import annotations

import os
import struct
import zlib
from pathlib import Path

from badgeryoke.gateway.cluster.storage.format import ACKNOWLEDGED_FILE, DamagedRecord

_NUMBER_BYTES = 8
_RECORD = struct.Struct(">QI")  # the number, CRC-32 of its bytes
_FILE_MODE = 0o600


class AcknowledgedCounter:
    """The open file; a context manager that closes it."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    @classmethod
    def open(cls, directory: Path) -> AcknowledgedCounter:
        """Open the file of a store, made empty where there is none.  Raises OSError."""
        return cls(os.open(directory / ACKNOWLEDGED_FILE, os.O_RDWR | os.O_CREAT, _FILE_MODE))

    @classmethod
    def create(cls, directory: Path) -> None:
        """Write and sync the file of a store without transactions.  Raises OSError."""
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC
        with cls(os.open(directory / ACKNOWLEDGED_FILE, flags, _FILE_MODE)) as counter:
            counter.write(0)
            os.fsync(counter._descriptor)

    @classmethod
    def open_existing(cls, directory: Path) -> AcknowledgedCounter:
        """Open the file for reading alone.  Raises FileNotFoundError where there is none, or OSError."""
        return cls(os.open(directory / ACKNOWLEDGED_FILE, os.O_RDONLY | os.O_CLOEXEC))

    def write(self, transaction_number: int) -> None:
        """Record that a transaction was acknowledged.  Raises OSError."""
        number = transaction_number.to_bytes(_NUMBER_BYTES, "big")
        os.pwrite(self._descriptor, number + zlib.crc32(number).to_bytes(4, "big"), 0)

    def read(self) -> int:
        """The last number written.  Raises DamagedRecord or OSError."""
        raw = os.pread(self._descriptor, _RECORD.size, 0)
        if len(raw) != _RECORD.size or zlib.crc32(raw[:_NUMBER_BYTES]) != _RECORD.unpack(raw)[1]:
            raise DamagedRecord("the count of acknowledged transactions does not read as written")
        return int(_RECORD.unpack(raw)[0])

    def close(self) -> None:
        """Close the file; a second call would close a descriptor that is no longer its own."""
        os.close(self._descriptor)

    def __enter__(self) -> AcknowledgedCounter:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()
