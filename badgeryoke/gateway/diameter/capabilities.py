"""Checks a CER or a CEA: the peer's identity and the common application (RFC 6733, 5.3)."""

from __future__ import annotations

from collections.abc import Callable

from badgeryoke.gateway.diameter import codec
from badgeryoke.gateway.diameter.codec import Avp, Fault, Message
from badgeryoke.gateway.diameter.dictionary import AvpCode, ResultCode


def check_capabilities(
    message: Message, avps: list[Avp] | Fault, accepts_peer: Callable[[str], bool]
) -> tuple[str, Fault | None]:
    """Return the Origin-Host of a CER or a CEA, and the fault for which the connection is rejected, if any."""
    if isinstance(avps, Fault):
        return "", avps
    origin_host_avp = codec.find_avp(avps, AvpCode.ORIGIN_HOST)
    if origin_host_avp is None:
        return "", Fault(ResultCode.MISSING_AVP, "no Origin-Host", Avp(AvpCode.ORIGIN_HOST, b"").encode())
    host = origin_host_avp.data.decode("ascii", "replace")
    if not accepts_peer(host):
        return host, Fault(ResultCode.UNKNOWN_PEER, "this peer is not let in")
    if not has_common_application(avps):
        return host, Fault(ResultCode.NO_COMMON_APPLICATION, "no credit control")
    if not message.is_request:
        result_code_avp = codec.find_avp(avps, AvpCode.RESULT_CODE)
        result_code = None if result_code_avp is None else codec.read_unsigned32(result_code_avp)
        if result_code != ResultCode.SUCCESS:
            return host, Fault(ResultCode.UNKNOWN_PEER, f"exchange refused with {result_code}")
    return host, None


def has_common_application(avps: list[Avp]) -> bool:
    """Whether a CER or a CEA offers credit control, or all applications as a relay agent does."""
    for avp in avps:
        members = [avp]
        if avp.code == AvpCode.VENDOR_SPECIFIC_APPLICATION_ID and not avp.vendor_id:
            parsed = codec.read_avps(avp.data)
            members = [] if isinstance(parsed, Fault) else parsed
        for member in members:
            is_application_id = member.code == AvpCode.AUTH_APPLICATION_ID and not member.vendor_id
            if is_application_id and codec.read_unsigned32(member) in (
                codec.CREDIT_CONTROL_APPLICATION_ID,
                codec.RELAY_APPLICATION_ID,
            ):
                return True
    return False
