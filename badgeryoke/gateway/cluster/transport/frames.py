"""Encoding and decoding of frames: a length of four bytes, big-endian, then an envelope in MessagePack."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
from tornado.iostream import IOStream

from badgeryoke.cluster.errors import BadFrame, ClusterError, ClusterMismatch
from badgeryoke.cluster.messages import PROTOCOL_VERSION, AnyMessage, Envelope, MemberId

LENGTH_BYTES = 4
MAX_ENVELOPE_OVERHEAD_BYTES = 1024  # an envelope's size without its messages
_MAX_QUOTED_NAME_CHARS = 64  # length to which an error cuts a name that a peer sent
_MAX_DECODE_ERROR_CHARS = 200

_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(Envelope)


class _EnvelopeHeader(msgspec.Struct, array_like=True):
    """The first fields of an envelope, which are the same in every protocol version."""

    version: int
    fleet: str


_header_decoder = msgspec.msgpack.Decoder(_EnvelopeHeader)


def quoted(name: str) -> str:
    """A name that a peer sent, quoted and truncated for an error."""
    return repr(name[:_MAX_QUOTED_NAME_CHARS])


def encode_message(message: AnyMessage) -> bytes:
    """Encode one message for `encode_batch`."""
    return _encoder.encode(message)


def encode_frame(envelope: Envelope) -> bytes:
    """Encode an envelope as a frame."""
    return _with_length(_encoder.encode(envelope))


def encode_batch(cluster: str, sender: MemberId, to: MemberId, messages: Sequence[msgspec.Raw]) -> bytes:
    """Encode a frame of messages that are encoded already."""
    # A tuple of the fields of Envelope in their order, since Envelope takes only decoded messages.
    return _with_length(_encoder.encode((PROTOCOL_VERSION, cluster, sender, to, messages)))


def _with_length(body: bytes) -> bytes:
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def decode_envelope(body: bytes, cluster: str, peer: str) -> Envelope | ClusterError:
    """Decode an envelope of this version and cluster, or return an error that names `peer`."""
    try:
        header = _header_decoder.decode(body)
        if header.version != PROTOCOL_VERSION:
            return BadFrame(peer, f"protocol version {header.version}, this member speaks {PROTOCOL_VERSION}")
        if header.fleet != cluster:
            return ClusterMismatch(
                peer, f"it belongs to fleet {quoted(header.fleet)}, this member to {cluster!r}"
            )
        return _envelope_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
        return BadFrame(peer, str(fault).replace("`", "")[:_MAX_DECODE_ERROR_CHARS])


async def read_envelope(
    stream: IOStream, max_frame_bytes: int, cluster: str, peer: str
) -> Envelope | ClusterError:
    """Read the next frame of a connection.  Raises StreamClosedError when the connection is closed."""
    size = int.from_bytes(await stream.read_bytes(LENGTH_BYTES), "big")
    if not 0 < size <= max_frame_bytes:
        return BadFrame(peer, f"a frame of {size} bytes, expected 1 to {max_frame_bytes}")
    return decode_envelope(await stream.read_bytes(size), cluster, peer)
