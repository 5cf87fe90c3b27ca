"""The discovery client, which keeps the endpoint list up to date."""
