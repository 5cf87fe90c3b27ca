"""Stable storage of one cluster member: Raft logs, hard state and snapshots in SQLite's write-ahead log.

Opening a store either reads back every acknowledged write unchanged, or reports that the store is damaged; the member
then starts empty under a new incarnation.  Damaged data is never repaired.  The reasons are in
`docs/design/replication-store.md`.

`format`               file names, schema, checksums
`acknowledged_counter` the file with the number of the last acknowledged transaction
`store`                an open store, and its write transaction
`verification`         reading a store back, with all checksums verified
`wal_inspection`       distinguishing a torn tail of the write-ahead log from damage
`opening`              locking, creating and opening a store, and setting a damaged one aside
`writer`               the thread that writes in batches
"""

from badgeryoke.gateway.cluster.storage.opening import StorageLocked, open_storage
from badgeryoke.gateway.cluster.storage.store import ClusterStorage
from badgeryoke.gateway.cluster.storage.writer import StorageWriter

__all__ = ["ClusterStorage", "StorageLocked", "StorageWriter", "open_storage"]
