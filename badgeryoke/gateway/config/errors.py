"""The error that is raised for an invalid configuration."""


class ConfigError(Exception):
    """An invalid configuration; the message names the key at fault."""
