"""Parses and validates the Credit-Control-Requests of Diameter clients (RFC 8506)."""

from __future__ import annotations

from dataclasses import dataclass

from badgeryoke.gateway.attempt import parse_customer
from badgeryoke.gateway.diameter import codec
from badgeryoke.gateway.diameter.codec import Avp, Fault, Message
from badgeryoke.gateway.diameter.dictionary import AvpCode, ResultCode
from badgeryoke.gateway.diameter.duplicate_requests import RequestIdentity

# The AVPs known in a Credit-Control-Request; any other AVP is rejected if its M bit is set.
KNOWN_AVPS = frozenset(
    {
        AvpCode.SESSION_ID,
        AvpCode.ORIGIN_HOST,
        AvpCode.ORIGIN_REALM,
        AvpCode.DESTINATION_REALM,
        AvpCode.AUTH_APPLICATION_ID,
        AvpCode.SERVICE_CONTEXT_ID,
        AvpCode.CC_REQUEST_TYPE,
        AvpCode.CC_REQUEST_NUMBER,
        AvpCode.DESTINATION_HOST,
        AvpCode.USER_NAME,
        AvpCode.ACCT_MULTI_SESSION_ID,
        AvpCode.ORIGIN_STATE_ID,
        AvpCode.EVENT_TIMESTAMP,
        AvpCode.SUBSCRIPTION_ID,
        AvpCode.SERVICE_IDENTIFIER,
        AvpCode.REQUESTED_SERVICE_UNIT,
        AvpCode.REQUESTED_ACTION,
        AvpCode.SERVICE_PARAMETER_INFO,
        AvpCode.CC_CORRELATION_ID,
        AvpCode.USER_EQUIPMENT_INFO,
        AvpCode.PROXY_INFO,
        AvpCode.ROUTE_RECORD,
    }
)
REPEATABLE_AVPS = frozenset(
    {AvpCode.SUBSCRIPTION_ID, AvpCode.SERVICE_PARAMETER_INFO, AvpCode.PROXY_INFO, AvpCode.ROUTE_RECORD}
)
REQUIRED_AVPS = (
    AvpCode.SESSION_ID,
    AvpCode.ORIGIN_HOST,
    AvpCode.ORIGIN_REALM,
    AvpCode.DESTINATION_REALM,
    AvpCode.AUTH_APPLICATION_ID,
    AvpCode.SERVICE_CONTEXT_ID,
    AvpCode.CC_REQUEST_TYPE,
    AvpCode.CC_REQUEST_NUMBER,
    AvpCode.REQUESTED_ACTION,
    AvpCode.SUBSCRIPTION_ID,
    AvpCode.SERVICE_IDENTIFIER,
)
# The AVPs of the types Unsigned32, Enumerated and Time.
INTEGER_AVPS = (
    AvpCode.AUTH_APPLICATION_ID,
    AvpCode.CC_REQUEST_TYPE,
    AvpCode.CC_REQUEST_NUMBER,
    AvpCode.REQUESTED_ACTION,
    AvpCode.SERVICE_IDENTIFIER,
    AvpCode.EVENT_TIMESTAMP,
)
MAX_IDENTIFIER_CHARACTERS = 512  # characters in a Session-Id or an Origin-Host


@dataclass(frozen=True, slots=True)
class CreditControlRequest:
    """The fields of a Credit-Control-Request that the gateway uses."""

    identity: RequestIdentity
    action: int
    customer: int
    service: int
    units: int | None
    event_time_s: int | None
    body: bytes | None


def _missing_avp_fault(code: int) -> Fault:
    return Fault(ResultCode.MISSING_AVP, f"AVP {code} is missing", Avp(code, b"").encode())


def _invalid_avp_fault(avp: Avp, text: str, result_code: int = ResultCode.INVALID_AVP_VALUE) -> Fault:
    return Fault(result_code, text, avp.encode())


def read_customer(avp: Avp) -> int | Fault:
    """Return the customer number in a Subscription-Id: 16 hex digits (END_USER_PRIVATE) or E.164 digits."""
    inner_avps = codec.read_avps(avp.data)
    if isinstance(inner_avps, Fault):
        return inner_avps
    type_avp, data_avp = (
        codec.find_avp(inner_avps, AvpCode.SUBSCRIPTION_ID_TYPE),
        codec.find_avp(inner_avps, AvpCode.SUBSCRIPTION_ID_DATA),
    )
    if type_avp is None or data_avp is None:
        return _missing_avp_fault(
            AvpCode.SUBSCRIPTION_ID_TYPE if type_avp is None else AvpCode.SUBSCRIPTION_ID_DATA
        )
    subscription_type = codec.read_unsigned32(type_avp)
    if isinstance(subscription_type, Fault):
        return subscription_type
    try:
        if subscription_type == codec.END_USER_PRIVATE:
            return parse_customer(data_avp.data)
        if subscription_type == codec.END_USER_E164 and data_avp.data.isdigit():
            return parse_customer(b"%016x" % int(data_avp.data[:16]))
    except ValueError:
        pass
    return _invalid_avp_fault(avp, "unknown subscriber", ResultCode.USER_UNKNOWN)


def _index_avps(avps: list[Avp]) -> dict[int, Avp] | Fault:
    """Return the first AVP of each known code; a fault if an AVP is missing, repeated, or mandatory but unknown."""
    indexed: dict[int, Avp] = {}
    for avp in avps:
        if avp.vendor_id or avp.code not in KNOWN_AVPS:
            if avp.flags & codec.AVP_FLAG_MANDATORY:
                return Fault(ResultCode.AVP_UNSUPPORTED, f"AVP {avp.code} is not understood", avp.encode())
        elif avp.code not in indexed:
            indexed[avp.code] = avp
        elif avp.code not in REPEATABLE_AVPS:
            return Fault(ResultCode.AVP_OCCURS_TOO_MANY_TIMES, f"AVP {avp.code} came twice", avp.encode())
    for code in REQUIRED_AVPS:
        if code not in indexed:
            return _missing_avp_fault(code)
    return indexed


def _read_integers(indexed: dict[int, Avp]) -> dict[int, int] | Fault:
    """Return the values of those of INTEGER_AVPS that are present."""
    integers: dict[int, int] = {}
    for code in INTEGER_AVPS:
        if code in indexed:
            integer = codec.read_unsigned32(indexed[code])
            if isinstance(integer, Fault):
                return integer
            integers[code] = integer
    return integers


def _read_identifier(avp: Avp) -> str | Fault:
    """Return the text of a Session-Id or an Origin-Host."""
    identifier = codec.read_text(avp)
    if isinstance(identifier, Fault):
        return identifier
    if not 0 < len(identifier) <= MAX_IDENTIFIER_CHARACTERS:
        return _invalid_avp_fault(avp, "empty or too long")
    return identifier


def _check_service(indexed: dict[int, Avp], integers: dict[int, int]) -> Fault | None:
    """Return a fault for anything but a one-time event that is a debit or a balance check."""
    if integers[AvpCode.AUTH_APPLICATION_ID] != codec.CREDIT_CONTROL_APPLICATION_ID:
        return _invalid_avp_fault(indexed[AvpCode.AUTH_APPLICATION_ID], "not credit control")
    if integers[AvpCode.CC_REQUEST_TYPE] != codec.EVENT_REQUEST:
        return _invalid_avp_fault(indexed[AvpCode.CC_REQUEST_TYPE], "only EVENT_REQUEST is served")
    if integers[AvpCode.REQUESTED_ACTION] not in (codec.DIRECT_DEBITING, codec.CHECK_BALANCE):
        return _invalid_avp_fault(
            indexed[AvpCode.REQUESTED_ACTION], "only DIRECT_DEBITING and CHECK_BALANCE are served"
        )
    return None


def _read_requested_units(indexed: dict[int, Avp], action: int) -> int | Fault | None:
    """Return the requested units; only a balance check may omit them."""
    units: int | None = None
    if AvpCode.REQUESTED_SERVICE_UNIT in indexed:
        requested_units = codec.read_units(indexed[AvpCode.REQUESTED_SERVICE_UNIT])
        if isinstance(requested_units, Fault):
            return requested_units
        if requested_units == 0:
            return _invalid_avp_fault(indexed[AvpCode.REQUESTED_SERVICE_UNIT], "no units asked for")
        units = requested_units
    if units is None and action == codec.DIRECT_DEBITING:
        return _missing_avp_fault(AvpCode.REQUESTED_SERVICE_UNIT)
    return units


def read_request(message: Message, avps: list[Avp]) -> CreditControlRequest | Fault:
    """Validate and parse a Credit-Control-Request; return the first fault found."""
    indexed = _index_avps(avps)
    if isinstance(indexed, Fault):
        return indexed
    integers = _read_integers(indexed)
    if isinstance(integers, Fault):
        return integers
    session_id = _read_identifier(indexed[AvpCode.SESSION_ID])
    if isinstance(session_id, Fault):
        return session_id
    origin_host = _read_identifier(indexed[AvpCode.ORIGIN_HOST])
    if isinstance(origin_host, Fault):
        return origin_host
    if fault := _check_service(indexed, integers):
        return fault
    customer = read_customer(indexed[AvpCode.SUBSCRIPTION_ID])
    if isinstance(customer, Fault):
        return customer
    units = _read_requested_units(indexed, integers[AvpCode.REQUESTED_ACTION])
    if isinstance(units, Fault):
        return units
    body = codec.read_value(avps)
    if isinstance(body, Fault):
        return body
    event_time_ntp_s = integers.get(AvpCode.EVENT_TIMESTAMP)
    return CreditControlRequest(
        RequestIdentity(origin_host, message.end_to_end_id, session_id, integers[AvpCode.CC_REQUEST_NUMBER]),
        integers[AvpCode.REQUESTED_ACTION],
        customer,
        integers[AvpCode.SERVICE_IDENTIFIER],
        units,
        None if event_time_ntp_s is None else event_time_ntp_s - codec.NTP_EPOCH_OFFSET_S,
        body,
    )
