"""Scenario texts: S-expressions read into checked values."""
