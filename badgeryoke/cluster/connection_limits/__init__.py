"""Connection limits of servers, divided over the gateways by leases, so that all gateways together never
exceed one.

The order is always: close, return, grant, open.  A gateway opens connections only under its lease
(`ConnectionLeaseHolder.may_open`); before it returns a share its connections are closed, and a connection
counts until the *server* has let go of it (its end was read, or it was reset, or it was left alone for the
server's idle timeout).  A share is free for others

- when its holder has returned it;
- when the lease has expired by the leader's clock and the server's idle timeout has gone by as well
  (`ReleaseProof.IDLE`): a holder that is alive has closed before the expiry, and one that is not, or is
  frozen, uses nothing after it, so that the server closes what was left open.  Neither alone will do: the
  connections of a lost machine stay open at the server;
- when a later process on the same running machine states that the earlier one is dead
  (`ReleaseProof.RESET`): the kernel has closed its sockets.  A machine that booted anew cannot state it, since
  its kernel has forgotten them.

A lowered limit takes nothing away at once: shares shrink as holders return them, and nothing is granted
meanwhile.

Source of the lease under clock drift: Gray and Cheriton, "Leases", SOSP 1989, section 2; shares are max-min
fair.  `limits` is the replicated part, `lease_holder` the gateway's side.
"""
