"""Scenario files: S-expressions parsed into a checked, typed model."""
