"""Rolling restarts of the gateways, as replicated state."""
