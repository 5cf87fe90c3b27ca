"""Stable storage of one cluster member: Raft logs, hard state and snapshots in SQLite's write-ahead log.

What was acknowledged is either given back as it was written, or the opening reports that the storage is damaged
and the member starts empty under a new incarnation.  Nothing is repaired by guessing.  The reasons are in
`docs/design/replication-store.md`.

`format`               file names, schema, checksums
`acknowledged_counter` the file with the number of the last acknowledged transaction
`store`                an open store, and its write transaction
`verification`         reading the store back, with every checksum compared
`wal_inspection`       telling a torn tail of the write-ahead log from damage
`opening`              locking, creating, opening, setting a damaged store aside
`writer`               the thread that writes and batches
"""

from badgeryoke.gateway.cluster.storage.opening import StorageLocked, open_storage
from badgeryoke.gateway.cluster.storage.store import ClusterStorage
from badgeryoke.gateway.cluster.storage.writer import StorageWriter

__all__ = ["ClusterStorage", "StorageLocked", "StorageWriter", "open_storage"]
