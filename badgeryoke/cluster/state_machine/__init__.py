"""The replicated state machine that committed log entries are applied to."""
