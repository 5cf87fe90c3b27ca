"""The error of configuration that cannot be used."""


class ConfigError(Exception):
    """Configuration that cannot be used; its text names the key at fault, for whoever edits the file."""
