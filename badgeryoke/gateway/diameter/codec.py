"""Codec of Diameter messages (RFC 6733) and of the AVPs of credit control (RFC 8506).

Parsing errors are returned as Fault values, not raised.
"""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Iterable
from dataclasses import dataclass

from badgeryoke.gateway.diameter.dictionary import AvpCode, ResultCode

HEADER_BYTES = 20
MAX_MESSAGE_BYTES = 96 * 1024  # fits a value of 64 KiB and the other AVPs
MAX_AVPS = 128  # maximum per message and per Grouped AVP
# Command flags: the R, P, E and T bits.
FLAG_REQUEST = 0x80
FLAG_PROXIABLE = 0x40
FLAG_ERROR = 0x20
FLAG_RETRANSMITTED = 0x10
# AVP flags: the V and M bits.
AVP_FLAG_VENDOR = 0x80
AVP_FLAG_MANDATORY = 0x40
CREDIT_CONTROL_APPLICATION_ID = 4
RELAY_APPLICATION_ID = 0xFFFFFFFF
NTP_EPOCH_OFFSET_S = 2_208_988_800  # the Unix epoch as a value of the Time type (seconds since 1900)

EVENT_REQUEST = 4  # CC-Request-Type
DIRECT_DEBITING, CHECK_BALANCE = 0, 2  # Requested-Action
END_USER_E164, END_USER_PRIVATE = 0, 4  # Subscription-Id-Type
REBOOTING, DO_NOT_WANT_TO_TALK_TO_YOU = 0, 2  # Disconnect-Cause


@dataclass(frozen=True, slots=True)
class Avp:
    """One AVP, with its data not yet decoded."""

    code: int
    data: bytes
    flags: int = AVP_FLAG_MANDATORY
    vendor_id: int = 0

    def encode(self) -> bytes:
        """Encode the AVP with its header and padding."""
        flags = self.flags | AVP_FLAG_VENDOR if self.vendor_id else self.flags & ~AVP_FLAG_VENDOR
        vendor_id_field = struct.pack(">I", self.vendor_id) if self.vendor_id else b""
        length = 8 + len(vendor_id_field) + len(self.data)
        return b"".join(
            (
                struct.pack(">II", self.code, flags << 24 | length),
                vendor_id_field,
                self.data,
                b"\0" * (-length % 4),
            )
        )


@dataclass(frozen=True, slots=True)
class Fault:
    """An error in a message: the Result-Code, the text of Error-Message and the content of Failed-AVP."""

    result_code: int
    text: str
    failed_avp: bytes = b""


@dataclass(frozen=True, slots=True)
class Message:
    """One message, with its AVPs not yet decoded."""

    flags: int
    command_code: int
    application_id: int
    hop_by_hop_id: int
    end_to_end_id: int
    body: bytes = b""

    @property
    def is_request(self) -> bool:
        """Whether the R bit is set."""
        return bool(self.flags & FLAG_REQUEST)

    def encode(self) -> bytes:
        """Encode the message with its header."""
        length = HEADER_BYTES + len(self.body)
        return (
            struct.pack(
                ">IIIII",
                1 << 24 | length,
                self.flags << 24 | self.command_code,
                self.application_id,
                self.hop_by_hop_id,
                self.end_to_end_id,
            )
            + self.body
        )

    def answer(self, avps: Iterable[Avp], error: bool = False) -> Message:
        """Build the answer to this request, with the same identifiers; `error` sets the E bit."""
        return Message(
            self.flags & FLAG_PROXIABLE | (FLAG_ERROR if error else 0),
            self.command_code,
            self.application_id,
            self.hop_by_hop_id,
            self.end_to_end_id,
            encode_avps(avps),
        )


class Framer:
    """Splits a byte stream into messages."""

    def __init__(self, max_message_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self._buffer = bytearray()
        self._max_message_bytes = max_message_bytes
        # The framing error and the header it was found in; once it is set, further data is ignored.
        self.fault: tuple[Fault, Message] | None = None

    @property
    def has_partial_message(self) -> bool:
        """Whether the buffer holds an incomplete message."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Message]:
        """Return the messages that `data` completes; after a framing error, always none."""
        messages: list[Message] = []
        if self.fault is not None:
            return messages
        buffer = self._buffer
        buffer += data
        offset = 0
        while len(buffer) - offset >= HEADER_BYTES:
            version_and_length, flags_and_command_code, application_id, hop_by_hop_id, end_to_end_id = (
                struct.unpack_from(">IIIII", buffer, offset)
            )
            length = version_and_length & 0xFFFFFF
            header = Message(
                flags_and_command_code >> 24,
                flags_and_command_code & 0xFFFFFF,
                application_id,
                hop_by_hop_id,
                end_to_end_id,
            )
            if version_and_length >> 24 != 1:
                self.fault = Fault(ResultCode.UNSUPPORTED_VERSION, "version is not 1"), header
            elif length < HEADER_BYTES or length % 4 or length > self._max_message_bytes:
                self.fault = Fault(ResultCode.INVALID_MESSAGE_LENGTH, f"message length {length}"), header
            if self.fault is not None:
                buffer.clear()
                return messages
            if len(buffer) - offset < length:
                break
            messages.append(
                Message(
                    header.flags,
                    header.command_code,
                    application_id,
                    hop_by_hop_id,
                    end_to_end_id,
                    bytes(buffer[offset + HEADER_BYTES : offset + length]),
                )
            )
            offset += length
        del buffer[:offset]
        return messages


def encode_avps(avps: Iterable[Avp]) -> bytes:
    """Encode the AVPs of a message body or of a Grouped AVP, in order."""
    return b"".join(avp.encode() for avp in avps)


def read_avps(body: bytes) -> list[Avp] | Fault:
    """Decode the AVPs of a message body or of a Grouped AVP."""
    avps: list[Avp] = []
    offset = 0
    while offset < len(body):
        if len(body) - offset < 8:
            return Fault(ResultCode.INVALID_AVP_LENGTH, "AVP header cut", body[offset:].ljust(8, b"\0"))
        code, flags_and_length = struct.unpack_from(">II", body, offset)
        flags, length = flags_and_length >> 24, flags_and_length & 0xFFFFFF
        header_bytes = 12 if flags & AVP_FLAG_VENDOR else 8
        if length < header_bytes or offset + length > len(body):
            # RFC 6733, 7.5: Failed-AVP holds the header of the invalid AVP, and zeroes as its data.
            return Fault(
                ResultCode.INVALID_AVP_LENGTH,
                f"AVP {code} length {length}",
                struct.pack(">II", code, flags << 24 | header_bytes) + b"\0" * (header_bytes - 8),
            )
        if len(avps) >= MAX_AVPS:
            return Fault(ResultCode.UNABLE_TO_COMPLY, "too many AVPs")
        vendor_id = struct.unpack_from(">I", body, offset + 8)[0] if header_bytes == 12 else 0
        avps.append(
            Avp(code, body[offset + header_bytes : offset + length], flags & ~AVP_FLAG_VENDOR, vendor_id)
        )
        offset += length + (-length % 4)
    return avps


def unsigned32_avp(code: int, value: int, flags: int = AVP_FLAG_MANDATORY) -> Avp:
    """An AVP of type Unsigned32, Enumerated or Time."""
    return Avp(code, struct.pack(">I", value), flags)


def unsigned64_avp(code: int, value: int) -> Avp:
    """An AVP of type Unsigned64."""
    return Avp(code, struct.pack(">Q", value))


def text_avp(code: int, value: str, flags: int = AVP_FLAG_MANDATORY) -> Avp:
    """An AVP of type UTF8String or DiameterIdentity."""
    return Avp(code, value.encode(), flags)


def grouped_avp(code: int, avps: Iterable[Avp]) -> Avp:
    """An AVP of type Grouped."""
    return Avp(code, encode_avps(avps))


def _invalid_value_fault(avp: Avp) -> Fault:
    return Fault(ResultCode.INVALID_AVP_VALUE, f"AVP {avp.code} has no valid value", avp.encode())


def read_unsigned32(avp: Avp) -> int | Fault:
    """The value of an Unsigned32, Enumerated or Time AVP."""
    if len(avp.data) != 4:
        return Fault(ResultCode.INVALID_AVP_LENGTH, f"AVP {avp.code} is not 4 bytes", avp.encode())
    return int.from_bytes(avp.data, "big")


def read_unsigned64(avp: Avp) -> int | Fault:
    """The value of an Unsigned64 AVP."""
    if len(avp.data) != 8:
        return Fault(ResultCode.INVALID_AVP_LENGTH, f"AVP {avp.code} is not 8 bytes", avp.encode())
    return int.from_bytes(avp.data, "big")


def read_text(avp: Avp) -> str | Fault:
    """The value of a UTF8String AVP."""
    try:
        return avp.data.decode()
    except UnicodeDecodeError:
        return _invalid_value_fault(avp)


def find_avp(avps: Iterable[Avp], code: int) -> Avp | None:
    """Return the first AVP with the code; vendor-specific AVPs are skipped."""
    return next((avp for avp in avps if avp.code == code and not avp.vendor_id), None)


def address_avp(host: str) -> Avp:
    """A Host-IP-Address AVP: the address family, then the address."""
    ip = ipaddress.ip_address(host)
    return Avp(AvpCode.HOST_IP_ADDRESS, struct.pack(">H", 1 if ip.version == 4 else 2) + ip.packed)


def read_units(avp: Avp) -> int | Fault | None:
    """Return CC-Service-Specific-Units of a Requested- or Granted-Service-Unit; None if there is none."""
    inner_avps = read_avps(avp.data)
    if isinstance(inner_avps, Fault):
        return inner_avps
    specific_units_avp = find_avp(inner_avps, AvpCode.CC_SERVICE_SPECIFIC_UNITS)
    return None if specific_units_avp is None else read_unsigned64(specific_units_avp)


def units_avp(code: int, units: float) -> Avp:
    """A Requested- or Granted-Service-Unit with CC-Service-Specific-Units."""
    return grouped_avp(code, [unsigned64_avp(AvpCode.CC_SERVICE_SPECIFIC_UNITS, max(round(units), 0))])


def value_avp(value: bytes) -> Avp:
    """A Service-Parameter-Info that carries the body of a request or the value of an answer."""
    return grouped_avp(
        AvpCode.SERVICE_PARAMETER_INFO,
        [unsigned32_avp(AvpCode.SERVICE_PARAMETER_TYPE, 1), Avp(AvpCode.SERVICE_PARAMETER_VALUE, value)],
    )


def read_value(avps: Iterable[Avp]) -> bytes | Fault | None:
    """Return the value in the first Service-Parameter-Info; None if there is none."""
    info = find_avp(avps, AvpCode.SERVICE_PARAMETER_INFO)
    if info is None:
        return None
    inner_avps = read_avps(info.data)
    if isinstance(inner_avps, Fault):
        return inner_avps
    parameter_value_avp = find_avp(inner_avps, AvpCode.SERVICE_PARAMETER_VALUE)
    return None if parameter_value_avp is None else parameter_value_avp.data
