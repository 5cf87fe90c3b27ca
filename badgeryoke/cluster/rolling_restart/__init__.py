"""Rolling restarts of the gateways, as replicated state.

Read `transitions` first (the states and the transitions between them), then `waves` (how a command changes the
replicated state), `scheduler` (what the leader proposes) and `gateway_agent` (what a gateway does).
"""
