"""The client of the shared quota counter."""
