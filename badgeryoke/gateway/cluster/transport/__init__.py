"""Connections between the gateways of a cluster: frames of MessagePack over TCP, one connection each way.

    frame     4 bytes of length, big-endian, then one `Envelope`
    dialler   a handshake (an envelope without messages), then, answered, envelopes with messages, and now and then a
              heartbeat (again one without), to be answered
    acceptor  one without messages for each such one

Whoever has something to send dials.  Each peer has a send queue of its own, bounded in messages and bytes, so that no
peer holds up another.  The layers above allow for loss.  A peer that does not read, or that is silent after something
was sent, is disconnected and its queue dropped, and dialled again after a backoff that doubles and is jittered; at once
where it has dialled.

A frame that cannot be read, or is of another version, cluster or incarnation, ends its connection with a
`ClusterError`, reported once in ten minutes for each peer and kind.  There is no secret in a handshake: the addresses
belong into a network of the cluster's own.

`limits`         timeouts and bounds
`frames`         encoding and decoding
`context`        what all connections of one member share
`error_reporter` each error once in a while
`send_queue`     messages that wait for one peer
`peer`           one peer: its queue and the state of its connection
`outbound`       dialling one peer and sending
`inbound`        accepting, checking handshakes and receiving
`transport`      all connections of one member
"""

from badgeryoke.gateway.cluster.transport.frames import decode_envelope, encode_frame
from badgeryoke.gateway.cluster.transport.limits import TransportLimits
from badgeryoke.gateway.cluster.transport.peer import Peer
from badgeryoke.gateway.cluster.transport.send_queue import SendQueue
from badgeryoke.gateway.cluster.transport.transport import ClusterTransport

__all__ = ["ClusterTransport", "Peer", "SendQueue", "TransportLimits", "decode_envelope", "encode_frame"]
