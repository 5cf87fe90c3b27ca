"""Connection limits of servers, divided among the gateways by leases, so that all gateways together never exceed a
limit.

The order is always: close, return, grant, open.  A gateway opens connections only under its lease
(`ConnectionLeaseHolder.may_open`).  It closes the connections of a share before it returns the share, and a
connection counts as open until the *server* has released it (end of stream was read, it was reset, or it was unused
for the server's idle timeout).  A share becomes available to others

- when its holder has returned it;
- when the lease has expired by the leader's clock and then the server's idle timeout has elapsed
  (`ReleaseProof.IDLE`): a live holder closes its connections before the expiry, and a dead or frozen one does not
  use them after it, so that the server closes them.  Neither alone is enough: the connections of a lost machine
  stay open at the server after the expiry;
- when a later process on the same running machine states that the earlier one is dead (`ReleaseProof.RESET`): the
  kernel has closed its sockets.  A rebooted machine cannot state this, since its new kernel does not know the old
  sockets.

A lowered limit revokes nothing: shares shrink as holders return them, and nothing is granted until the sum is below
the limit.

Leases under clock drift follow Gray and Cheriton, "Leases", SOSP 1989, section 2; shares are max-min fair.  `limits`
is the replicated part, `lease_holder` the gateway's side.
"""
