"""Cluster membership: failure detection and dissemination by gossip (SWIM with Lifeguard)."""
