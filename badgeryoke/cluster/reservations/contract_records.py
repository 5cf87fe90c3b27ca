"""Serialized forms of a contract: for snapshots, gateways and operators.

Snapshots are stored and answers are sent, so the order of fields and the keys are a stable format.
"""

from __future__ import annotations

from typing import Any

import msgspec

from badgeryoke.cluster.reservations.answers import ContractFacts, VersionFacts
from badgeryoke.cluster.reservations.contract import Contract, ContractState, ContractVersion
from badgeryoke.cluster.reservations.terms import ContractTerms, Interval

# The stored form: nested lists of plain values, without types until `load_contract`.
ContractRecord = list[Any]


def dump_contract(contract: Contract) -> ContractRecord:
    """A contract's form in snapshots."""
    return [
        contract.name,
        contract.state.value,
        contract.confirmed_version,
        contract.cancelled,
        contract.shortfalls,
        contract.shortfall_since_ms,
        contract.last_shortfall_ms,
        [
            [
                version.number,
                msgspec.to_builtins(version.terms),
                version.intervals,
                version.effective_from_ms,
            ]
            for version in contract.versions
        ],
    ]


def load_contract(record: ContractRecord) -> Contract:
    """Load the result of `dump_contract`."""
    name, state, confirmed_version, cancelled, shortfalls, since_ms, last_shortfall_ms, versions = record
    return Contract(
        name,
        [
            ContractVersion(
                number,
                msgspec.convert(terms, ContractTerms),
                [Interval(start_ms, end_ms) for start_ms, end_ms in intervals],
                effective_from_ms,
            )
            for number, terms, intervals, effective_from_ms in versions
        ],
        ContractState(state),
        confirmed_version,
        cancelled,
        shortfalls,
        since_ms,
        last_shortfall_ms,
    )


def contract_facts(contract: Contract) -> ContractFacts:
    """A contract's form in the answer to a gateway's poll."""
    terms = contract.newest.terms
    return ContractFacts(
        contract=contract.name,
        tenant=terms.tenant,
        rank=terms.rank,
        zone=terms.zone,
        surplus=terms.surplus,
        confirmed_version=contract.confirmed_version,
        versions=tuple(
            VersionFacts(
                version=version.number,
                customers=version.terms.customers,
                rate=version.terms.rate,
                burst=version.terms.burst,
                intervals=tuple(version.intervals),
                effective_from_ms=version.effective_from_ms,
            )
            for version in contract.versions
        ),
    )


def contract_status(contract: Contract) -> dict[str, Any]:
    """A contract's status for operators, with the keys of the management interface."""
    return {
        "contract": contract.name,
        "state": contract.state.value,
        "version": contract.newest.number,
        "told": contract.confirmed_version,
        "holds_from_ms": contract.newest.effective_from_ms,
        "terms": msgspec.to_builtins(contract.newest.terms),
        "cancelled": contract.cancelled,
        "since_ms": contract.shortfall_since_ms,
        "short": {cause: sum(units.values()) for cause, units in contract.shortfalls.items()},
    }
