"""The path of the checkout."""

from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
