"""Reads and validates the operators' Diameter file, deploy/diameter.toml."""

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
MAX_IDENTITY_CHARACTERS = 255  # characters in a DiameterIdentity
DEFAULT_WATCHDOG_S, MIN_WATCHDOG_S = 30, 6  # the minimum of RFC 3539
DEFAULT_ANSWERS_KEPT_S, MIN_ANSWERS_KEPT_S = 240, 1
# The idempotency that the class named by each key of [classes] must have.
CLASS_IDEMPOTENCY = {"check": Idempotency.IDEMPOTENT, "debit": Idempotency.WITH_KEY}


def read_diameter(path: Path, settings: Settings) -> DiameterConfig | None:
    """Read the file at `path`; None if it is absent or does not enable Diameter.  Raises ConfigError.

    The plans and classes that it names must exist in the settings.  If the settings have none, as for
    `badgeryoke check`, the names are not checked.
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
    """The parsed content of a file that enables Diameter; validation raises the first fault found."""

    name: str
    raw: Mapping[str, object]
    settings: Settings

    def read(self) -> DiameterConfig:
        """Validate all values and build the configuration; raises ConfigError."""
        origin_host, origin_realm = self._identity("origin_host"), self._identity("origin_realm")
        listen = self._listen()
        plans = self._plans()
        check_class, debit_class = self._classes()
        return DiameterConfig(
            listen=listen,
            origin_host=origin_host,
            origin_realm=origin_realm,
            plans=plans,
            server_kinds=self._strings("server_kinds"),
            clients=self._strings("clients"),
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
        plan_names = {plan.name for plan in self.settings.plans}
        plans: dict[int, str] = {}
        for key, plan in read_table(f"{self.name}: plans", self.raw.get("plans", {})).items():
            if not key.isdigit() or not isinstance(plan, str) or (plan_names and plan not in plan_names):
                raise ConfigError(
                    f"{self.name}: plans.{key}: expected Service-Identifier = a plan of the settings"
                )
            plans[int(key)] = plan
        return plans

    def _classes(self) -> tuple[str | None, str | None]:
        """Return the classes of CHECK_BALANCE and of DIRECT_DEBITING."""
        class_names: dict[str, str] = {}
        for key, value in read_table(f"{self.name}: classes", self.raw.get("classes", {})).items():
            if key not in CLASS_IDEMPOTENCY or not isinstance(value, str) or not self._has_class(key, value):
                raise ConfigError(
                    f"{self.name}: classes.{key}: expected check = a class that is safe to repeat, or debit "
                    f"= one that takes a key"
                )
            class_names[key] = value
        return class_names.get("check"), class_names.get("debit")

    def _has_class(self, key: str, name: str) -> bool:
        required = (name, CLASS_IDEMPOTENCY[key])
        classes = self.settings.classes
        return not classes or any((cls.name, cls.idempotency) == required for cls in classes)

    def _strings(self, key: str) -> frozenset[str]:
        value = self.raw.get(key, [])
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            raise ConfigError(f"{self.name}: {key}: expected a list of words")
        return frozenset(value)
