"""Failure detection and dissemination of membership by gossip (SWIM with Lifeguard)."""
