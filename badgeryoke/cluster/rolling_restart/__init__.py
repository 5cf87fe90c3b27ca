"""Rolling restarts of the gateways, as replicated state.

Read `transitions` first (which states there are, and how they follow one another), then `waves` (how a command
changes the replicated state), `scheduler` (what the leader proposes) and `gateway_agent` (what a gateway does).
"""
