"""Configuration files: reading, validation and defaults."""
