"""The operators' Diameter file, deploy/diameter.toml: read and validated."""

from __future__ import annotations

import ipaddress
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from badgeryoke.decisions.interface import Idempotency, Settings
from badgeryoke.gateway.address import Address
from badgeryoke.gateway.config.errors import ConfigError
from badgeryoke.gateway.config.model import DiameterConfig
from badgeryoke.gateway.config.values import read_address, read_number, read_table

DIAMETER_FILE = "diameter.toml"
MAX_IDENTITY_CHARACTERS = 255  # of a DiameterIdentity
DEFAULT_WATCHDOG_S, MIN_WATCHDOG_S = 30, 6  # RFC 3539 allows no less
DEFAULT_ANSWERS_KEPT_S, MIN_ANSWERS_KEPT_S = 240, 1
# What a class has to be, by the key of [classes] that names it.
CLASS_IDEMPOTENCY = {"check": Idempotency.IDEMPOTENT, "debit": Idempotency.WITH_KEY}


def read_diameter(path: Path, settings: Settings) -> DiameterConfig | None:
    """The file at a path; None where it is absent or does not enable Diameter.  Raises ConfigError.

    The plans and classes that it names have to be among the settings'.  Where these have none, as for
    `badgeryoke check`, the file is validated by itself.
    """
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path.name}: {error}") from None
    enabled = raw.get("enabled", False)
    if not isinstance(enabled, bool):
        raise ConfigError(f"{path.name}: enabled: expected true or false")
    return _DiameterFile(path.name, raw, settings).read() if enabled else None


@dataclass(frozen=True, slots=True)
class _DiameterFile:
    """An enabled file, parsed and to be validated; the first fault found is raised."""

    name: str
    raw: Mapping[str, object]
    settings: Settings

    def read(self) -> DiameterConfig:
        """Validate all values, in the order of the file; raises ConfigError."""
        origin_host, origin_realm = self._identity("origin_host"), self._identity("origin_realm")
        listen = self._listen()
        plans = self._plans()
        check_class, debit_class = self._classes()
        return DiameterConfig(
            listen=listen,
            origin_host=origin_host,
            origin_realm=origin_realm,
            plans=plans,
            server_kinds=self._words("server_kinds"),
            clients=self._words("clients"),
            deadline_ms=read_number(self.name, self.raw, "deadline_ms", 0, 0),
            watchdog_s=read_number(self.name, self.raw, "watchdog_s", DEFAULT_WATCHDOG_S, MIN_WATCHDOG_S),
            answers_kept_s=read_number(
                self.name, self.raw, "answers_kept_s", DEFAULT_ANSWERS_KEPT_S, MIN_ANSWERS_KEPT_S
            ),
            check_class=check_class,
            debit_class=debit_class,
        )

    def _identity(self, key: str) -> str:
        value = self.raw.get(key)
        if (
            not isinstance(value, str)
            or not value
            or not value.isascii()
            or len(value) > MAX_IDENTITY_CHARACTERS
        ):
            raise ConfigError(f"{self.name}: {key}: expected a DiameterIdentity")
        return value

    def _listen(self) -> Address | None:
        if "listen" not in self.raw:
            return None
        listen = read_address(f"{self.name}: listen", self.raw["listen"])
        if not ipaddress.ip_address(listen[0]).is_loopback and not self.raw.get("beyond_loopback", False):
            raise ConfigError(f"{self.name}: listen: not a loopback address, and beyond_loopback is not set")
        return listen

    def _plans(self) -> dict[int, str]:
        known = {plan.name for plan in self.settings.plans}
        plans: dict[int, str] = {}
        for key, plan in read_table(f"{self.name}: plans", self.raw.get("plans", {})).items():
            if not key.isdigit() or not isinstance(plan, str) or (known and plan not in known):
                raise ConfigError(
                    f"{self.name}: plans.{key}: expected Service-Identifier = a plan of the settings"
                )
            plans[int(key)] = plan
        return plans

    def _classes(self) -> tuple[str | None, str | None]:
        """The classes of CHECK_BALANCE and of DIRECT_DEBITING."""
        chosen: dict[str, str] = {}
        for key, value in read_table(f"{self.name}: classes", self.raw.get("classes", {})).items():
            if key not in CLASS_IDEMPOTENCY or not isinstance(value, str) or not self._has_class(key, value):
                raise ConfigError(
                    f"{self.name}: classes.{key}: expected check = a class that is safe to repeat, or debit "
                    f"= one that takes a key"
                )
            chosen[key] = value
        return chosen.get("check"), chosen.get("debit")

    def _has_class(self, key: str, name: str) -> bool:
        wanted = (name, CLASS_IDEMPOTENCY[key])
        classes = self.settings.classes
        return not classes or any((cls.name, cls.idempotency) == wanted for cls in classes)

    def _words(self, key: str) -> frozenset[str]:
        value = self.raw.get(key, [])
        if not isinstance(value, list) or not all(isinstance(word, str) for word in value):
            raise ConfigError(f"{self.name}: {key}: expected a list of words")
        return frozenset(value)
