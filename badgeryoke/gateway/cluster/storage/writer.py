"""The writer thread.  Requests that arrive during a transaction are batched into the next one."""

from __future__ import annotations

import contextlib
import queue
import threading
from collections import deque
from collections.abc import Callable, Sequence

from badgeryoke.cluster.errors import ClusterError, StorageFailed
from badgeryoke.cluster.events import Entries, PersistRecords, Record, RecordsPersisted, Snapshot
from badgeryoke.gateway.cluster.storage.store import ClusterStorage

MAX_PENDING_BYTES = 64 * 1024 * 1024  # bytes not written yet; beyond this limit the storage counts as failed
RECORD_OVERHEAD_BYTES = 64  # approximate overhead per request, record or entry
CLOSE_TIMEOUT_S = 1.0


class StorageWriter:
    """Writes in a thread, so that the event loop does not wait for the disk.

    `on_persisted` is called on the event loop, in the order of the requests; `on_failure` once, when writing has ended
    with an error.  The thread is a daemon, so that a hanging disk does not delay the exit of the process.  The directory
    stays locked until `close`, even if the storage has failed.
    """

    def __init__(
        self,
        storage: ClusterStorage,
        call_soon_threadsafe: Callable[..., object],
        on_persisted: Callable[[list[RecordsPersisted]], None],
        on_failure: Callable[[ClusterError], None],
    ) -> None:
        self._storage = storage
        self._call_soon_threadsafe = call_soon_threadsafe
        self._on_persisted = on_persisted
        self._on_failure = on_failure
        self._pending: deque[PersistRecords] = deque()
        self._pending_bytes = 0  # bytes of pending requests and of the running transaction
        self._writing = False
        self._closed = False
        self.failure: ClusterError | None = None
        self.transactions = 0
        self.records = 0
        self._batches: queue.SimpleQueue[list[PersistRecords] | None] = queue.SimpleQueue()  # None: stop
        self._thread = threading.Thread(target=self._write_batches, name="cluster-storage", daemon=True)
        self._thread.start()

    def submit(self, requests: Sequence[PersistRecords]) -> None:
        """Request a write; RecordsPersisted follows for each, unless the storage fails."""
        if self.failure is not None or self._closed or not requests:
            return
        self._pending.extend(requests)
        self._pending_bytes += sum(map(_request_bytes, requests))
        if self._pending_bytes > MAX_PENDING_BYTES:
            self._fail(
                StorageFailed(
                    self._storage.member,
                    f"the disk is too slow: {self._pending_bytes} bytes wait to be written",
                )
            )
        else:
            self._start_next_batch()

    def _start_next_batch(self) -> None:
        if not self._writing and self._pending and self.failure is None:
            self._writing = True
            batch = list(self._pending)
            self._pending.clear()
            self._batches.put(batch)

    def _write_batches(self) -> None:
        """Write batches until the queue yields None or a write fails; runs in the thread."""
        while (batch := self._batches.get()) is not None:
            fault: Exception | None = None
            try:
                self._storage.write(batch)
            except Exception as raised:  # any exception: the event loop has to be notified of the failure
                fault = raised
            with contextlib.suppress(RuntimeError):  # the event loop is closed
                self._call_soon_threadsafe(self._batch_written, batch, fault)
            if fault is not None:
                break

    def _batch_written(self, batch: list[PersistRecords], fault: Exception | None) -> None:
        self._writing = False
        if fault is not None:
            self._fail(StorageFailed(self._storage.member, f"{self._storage.directory}: {fault}"))
        if self.failure is not None:
            return
        self._pending_bytes -= sum(map(_request_bytes, batch))
        self.transactions += 1
        self.records += sum(len(request.records) for request in batch)
        self._start_next_batch()  # the disk writes while the event loop handles the acknowledgements
        self._on_persisted([RecordsPersisted(request.group, request.sequence) for request in batch])

    def _fail(self, error: ClusterError) -> None:
        if self.failure is None:
            self.failure = error
            self._pending.clear()
            self._batches.put(None)
            self._on_failure(error)

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Write all pending requests and close the storage; waits no longer than the timeout."""
        if not self._closed:
            self._closed = True
            if self._pending and self.failure is None:
                self._batches.put(list(self._pending))
                self._pending.clear()
            self._batches.put(None)
        self._thread.join(timeout_s)
        if not self._thread.is_alive():  # otherwise the directory stays locked until the process exits
            self._storage.close()


def _request_bytes(request: PersistRecords) -> int:
    """The approximate memory size of a request."""
    return RECORD_OVERHEAD_BYTES + sum(map(_record_bytes, request.records))


def _record_bytes(record: Record) -> int:
    match record:
        case Entries(entries):
            return sum(RECORD_OVERHEAD_BYTES + len(entry.body) for entry in entries)
        case Snapshot():
            return RECORD_OVERHEAD_BYTES + len(record.body)
        case _:
            return RECORD_OVERHEAD_BYTES
