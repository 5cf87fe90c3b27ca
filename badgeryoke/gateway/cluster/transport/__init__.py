"""Connections between the gateways of a cluster: MessagePack frames over TCP, one connection for each direction.

    frame     length in 4 bytes, big-endian, then one `Envelope`
    dialler   sends a handshake (an envelope without messages); once it is answered, envelopes with messages, and
              periodically a heartbeat (another envelope without messages)
    acceptor  answers each handshake and heartbeat with an envelope without messages

A member dials a peer when it has messages for it.  Each peer has its own send queue, bounded in messages and bytes, so
that no peer delays another.  The layers above tolerate lost messages.  A peer that does not read, or does not answer a
heartbeat, is disconnected and its queue is dropped.  It is dialled again after an exponential backoff with jitter, or at
once if it dials this member.

A frame that cannot be decoded, or that is of another version, cluster or incarnation, closes its connection with a
`ClusterError`, which is reported once in ten minutes for each peer and kind.  Handshakes are not authenticated: the
addresses have to be in a private network of the cluster.

`limits`         timeouts and size limits
`frames`         encoding and decoding
`context`        state shared by all connections of one member
`error_reporter` rate-limited reports of errors
`send_queue`     messages waiting for one peer
`peer`           one peer: its send queue and the state of its connection
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
