"""Detects damage in SQLite's write-ahead log that SQLite itself ignores.

SQLite ignores the log from the first frame whose checksum does not match, and reports no error.  That is right for a
torn tail, which is at most one transaction, since each is synced before the next begins.  If more than one commit
follows that frame, the log is damaged.  The layout is described in https://www.sqlite.org/walformat.html.
"""

from __future__ import annotations

import struct
from pathlib import Path

from badgeryoke.gateway.cluster.storage.format import WAL_FILE, WAL_INDEX_FILE, DamagedRecord

# magic, format version, page size, checkpoint sequence, two salts, two checksums
_WAL_HEADER = struct.Struct(">8I")
# page number, database size in pages (0 unless the frame is a commit), two salts, two checksums
_FRAME_HEADER = struct.Struct(">6I")
_WAL_MAGIC = 0x377F0682  # with the lowest bit set, checksums are over big-endian words
_CHECKSUMMED_HEADER_BYTES = 24
_CHECKSUMMED_HEADER_WORDS = 6
_VALID_FRAMES_OFFSET, _VALID_FRAMES_END = 16, 20  # mxFrame in the index file, in native byte order
_MAX_TORN_COMMITS = 1


def check_write_ahead_log(directory: Path) -> None:
    """Check that SQLite has ignored at most a torn tail of its log.  Raises DamagedRecord or OSError."""
    try:
        wal = (directory / WAL_FILE).read_bytes()
        valid_frames = _valid_frames(directory / WAL_INDEX_FILE)
    except (FileNotFoundError, struct.error):  # no log, or an index file without a header
        return
    if len(wal) < _WAL_HEADER.size or not any(wal[: _WAL_HEADER.size]):
        return
    _check_header(wal)
    commits = _commits_after(wal, valid_frames)
    if commits > _MAX_TORN_COMMITS:
        raise DamagedRecord(f"{commits} transactions follow an invalid frame of the write-ahead log")


def _valid_frames(index_file: Path) -> int:
    """The number of frames that SQLite has accepted as valid."""
    with index_file.open("rb") as index:
        raw = index.read(_VALID_FRAMES_END)
    return int(struct.unpack("=I", raw[_VALID_FRAMES_OFFSET:])[0])


def _check_header(wal: bytes) -> None:
    magic, _, _, _, _, _, *stored_checksum = _WAL_HEADER.unpack_from(wal)
    if magic & ~1 != _WAL_MAGIC or _header_checksum(wal, magic) != stored_checksum:
        raise DamagedRecord("the header of the write-ahead log is corrupt")


def _header_checksum(wal: bytes, magic: int) -> list[int]:
    byte_order = ">" if magic & 1 else "<"
    words = struct.unpack(
        f"{byte_order}{_CHECKSUMMED_HEADER_WORDS}I",
        wal[:_CHECKSUMMED_HEADER_BYTES],
    )
    first = second = 0
    for word in range(0, _CHECKSUMMED_HEADER_WORDS, 2):
        first = first + words[word] + second & 0xFFFFFFFF
        second = second + words[word + 1] + first & 0xFFFFFFFF
    return [first, second]


def _commits_after(wal: bytes, valid_frames: int) -> int:
    """The number of commit frames of this log after the valid ones."""
    _, _, page_size, _, *salts, _, _ = _WAL_HEADER.unpack_from(wal)
    frame_size = page_size + _FRAME_HEADER.size
    commits = 0
    offset = _WAL_HEADER.size + valid_frames * frame_size
    while offset + _FRAME_HEADER.size <= len(wal):
        _, database_pages, *frame_salts, _, _ = _FRAME_HEADER.unpack_from(wal, offset)
        commits += database_pages > 0 and frame_salts == salts
        offset += frame_size
    return commits
