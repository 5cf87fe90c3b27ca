"""Finds the application that both sides of a capabilities exchange support (RFC 6733, 5.3)."""

from __future__ import annotations

from badgeryoke.gateway.diameter import codec
from badgeryoke.gateway.diameter.codec import Avp, Fault
from badgeryoke.gateway.diameter.dictionary import AvpCode


def has_common_application(avps: list[Avp]) -> bool:
    """Whether a CER or a CEA offers credit control, or a relay agent's every application."""
    for avp in avps:
        members = [avp]
        if avp.code == AvpCode.VENDOR_SPECIFIC_APPLICATION_ID and not avp.vendor_id:
            read = codec.read_avps(avp.data)
            members = [] if isinstance(read, Fault) else read
        for member in members:
            is_application_id = member.code == AvpCode.AUTH_APPLICATION_ID and not member.vendor_id
            if is_application_id and codec.read_unsigned32(member) in (
                codec.CREDIT_CONTROL_APPLICATION_ID,
                codec.RELAY_APPLICATION_ID,
            ):
                return True
    return False
