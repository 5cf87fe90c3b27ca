"""Encodes the Credit-Control-Request of an attempt and ends the attempt according to the answer (RFC 8506)."""

from __future__ import annotations

import zlib

from badgeryoke.gateway.attempt import Attempt, Request
from badgeryoke.gateway.diameter import codec
from badgeryoke.gateway.diameter.codec import Avp, Fault, Message
from badgeryoke.gateway.diameter.dictionary import AvpCode, CommandCode, ResultCode
from badgeryoke.gateway.diameter.peer import PeerIdentity

SERVICE_CONTEXT = "load@badgeryoke"


def session_id(request: Request, realm: str) -> str:
    """Return the Session-Id.

    With an idempotency key, it is derived from the key alone, so that a server recognizes a duplicate that was sent
    by another gateway.
    """
    identifier = request.idempotency_key or request.id
    return f"{realm};{len(identifier)};{zlib.crc32(identifier.encode())};{identifier}"


def _subscription_avp(customer: int) -> Avp:
    return codec.grouped_avp(
        AvpCode.SUBSCRIPTION_ID,
        [
            codec.unsigned32_avp(AvpCode.SUBSCRIPTION_ID_TYPE, codec.END_USER_PRIVATE),
            codec.text_avp(AvpCode.SUBSCRIPTION_ID_DATA, f"{customer:016x}"),
        ],
    )


def encode_request(
    request: Request,
    identity: PeerIdentity,
    idempotent: bool,
    service: int | None,
    hop_by_hop_id: int,
    end_to_end_id: int,
    retransmitted: bool,
) -> bytes:
    """Encode the Credit-Control-Request of a one-time event."""
    avps = [
        codec.text_avp(AvpCode.SESSION_ID, session_id(request, identity.realm)),
        codec.text_avp(AvpCode.ORIGIN_HOST, identity.host),
        codec.text_avp(AvpCode.ORIGIN_REALM, identity.realm),
        codec.text_avp(AvpCode.DESTINATION_REALM, identity.realm),
        codec.unsigned32_avp(AvpCode.AUTH_APPLICATION_ID, codec.CREDIT_CONTROL_APPLICATION_ID),
        codec.text_avp(AvpCode.SERVICE_CONTEXT_ID, SERVICE_CONTEXT),
        codec.unsigned32_avp(AvpCode.CC_REQUEST_TYPE, codec.EVENT_REQUEST),
        codec.unsigned32_avp(AvpCode.CC_REQUEST_NUMBER, 0),
        codec.unsigned32_avp(
            AvpCode.REQUESTED_ACTION, codec.CHECK_BALANCE if idempotent else codec.DIRECT_DEBITING
        ),
        _subscription_avp(request.customer),
        codec.units_avp(AvpCode.REQUESTED_SERVICE_UNIT, request.units),
    ]
    if service is not None:
        avps.append(codec.unsigned32_avp(AvpCode.SERVICE_IDENTIFIER, service))
    if request.body is not None:
        avps.append(codec.value_avp(request.body))
    flags = codec.FLAG_REQUEST | codec.FLAG_PROXIABLE | (codec.FLAG_RETRANSMITTED if retransmitted else 0)
    return Message(
        flags,
        CommandCode.CREDIT_CONTROL,
        codec.CREDIT_CONTROL_APPLICATION_ID,
        hop_by_hop_id,
        end_to_end_id,
        codec.encode_avps(avps),
    ).encode()


def answers_another_request(attempt: Attempt, realm: str, avps: list[Avp] | Fault) -> bool:
    """Whether a CCA names another session than the request: a server took the request for a duplicate of that one."""
    if isinstance(avps, Fault):
        return False
    session = codec.find_avp(avps, AvpCode.SESSION_ID)
    return session is not None and session.data != session_id(attempt.request, realm).encode()


def end_attempt(attempt: Attempt, avps: list[Avp] | Fault) -> str | None:
    """End an attempt according to its CCA; return a description of what was malformed, or None.

    With TOO_BUSY the request did not run, so another server may be tried; after any other failure it may have
    run.
    """
    if isinstance(avps, Fault):
        attempt.failed("malformed answer")
        return avps.text
    result_code_avp = codec.find_avp(avps, AvpCode.RESULT_CODE)
    result_code = None if result_code_avp is None else codec.read_unsigned32(result_code_avp)
    if result_code is None or isinstance(result_code, Fault):
        attempt.failed("malformed answer")
        return "answer without a Result-Code"
    if result_code == ResultCode.TOO_BUSY:
        attempt.rejected("DIAMETER_TOO_BUSY")
    elif 2000 <= result_code < 3000:
        value = codec.read_value(avps)
        granted_avp = codec.find_avp(avps, AvpCode.GRANTED_SERVICE_UNIT)
        units = None if granted_avp is None else codec.read_units(granted_avp)
        if isinstance(value, Fault) or isinstance(units, Fault):
            attempt.succeeded(b"", 0.0)
            return "answer with unreadable units or value"
        attempt.succeeded(value or b"", float(units or 0))
    else:
        attempt.failed(f"Result-Code {result_code}")
    return None
