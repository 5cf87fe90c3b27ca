"""How long the discovery client waits before it retries: exponential backoff with jitter.

All gateways share one discovery service.  The longest pause grows with their number, so that the rate of all their
retries stays bounded, and jitter spreads gateways that lost discovery at the same moment.
"""

from __future__ import annotations

from collections.abc import Callable

INITIAL_PAUSE_S = 0.02
MIN_LONGEST_PAUSE_S = 0.15  # the longest pause if there are few gateways
LONGEST_PAUSE_PER_GATEWAY_S = 0.05
# The longest pause for any number of gateways.  In the worst case a rejected poll is followed by 1.5 times this pause,
# a poll that times out as late as possible (long_poll.PROBE_WAIT_MS + RESPONSE_TIMEOUT_S) and the next pause
# (SILENCE_PAUSE_S): 4.95 s of the 6 s within which a change has to be known.
MAX_LONGEST_PAUSE_S = 2.0
BACKOFF_MULTIPLIER = 2
# Jitter: a pause is multiplied by a factor from MIN_JITTER to MIN_JITTER + 1.
MIN_JITTER = 0.5
# After silence the next poll starts at a random time within this pause.  A change that the agent holds, also at the
# end of an outage, counts as notified from that moment, and a drain allows 0.25 s: no gateway may be without an open
# poll for that long.
SILENCE_PAUSE_S = 0.05
# The longest pause after a rejection of the first poll after silence: by then 4.05 s of the 6 s have passed.
REJECTED_AFTER_SILENCE_PAUSE_S = 0.6


class DiscoveryBackoff:
    """Computes the pause before the next poll from the results of the polls before it."""

    __slots__ = ("_draw", "_pause_s", "longest_pause_s", "silent_polls")

    def __init__(self, gateway_count: int, draw: Callable[[], float]) -> None:
        """`draw` returns random numbers from 0 to 1."""
        self._draw = draw
        self._pause_s = INITIAL_PAUSE_S
        self.silent_polls = 0  # consecutive polls without an answer of any kind
        self.set_gateway_count(gateway_count)

    def set_gateway_count(self, gateway_count: int) -> None:
        """Adapt the longest pause to the number of gateways that share discovery."""
        longest_s = max(MIN_LONGEST_PAUSE_S, LONGEST_PAUSE_PER_GATEWAY_S * gateway_count)
        self.longest_pause_s = min(longest_s, MAX_LONGEST_PAUSE_S)
        self._pause_s = min(self._pause_s, self.longest_pause_s)

    def reset(self) -> None:
        """Discard the results of earlier polls, since discovery has another address."""
        self._pause_s, self.silent_polls = INITIAL_PAUSE_S, 0

    def record_answer(self) -> None:
        """Halve the pause after a poll that was answered with an endpoint list.

        The pause is not reset, since one answer does not prove that discovery has capacity for all gateways.
        """
        self._pause_s, self.silent_polls = max(self._pause_s / BACKOFF_MULTIPLIER, INITIAL_PAUSE_S), 0

    def pause_after_silence_s(self) -> float:
        """The pause after a poll without any answer.

        It ignores the backoff, which may still be long from an earlier overload: each silent poll already takes
        the silence timeout, and no change may be missed between two polls.
        """
        self.silent_polls += 1
        return SILENCE_PAUSE_S * self._draw()

    def pause_after_failure_s(self) -> float:
        """The pause after a poll that was rejected, got a malformed answer, or lost its connection."""
        pause_s = self._pause_s * (MIN_JITTER + self._draw())
        self._pause_s = min(self._pause_s * BACKOFF_MULTIPLIER, self.longest_pause_s)
        if self.silent_polls:
            # The time limit of changes missed during the silence is running: one rejection must not use it up.
            self.silent_polls, pause_s = 0, min(pause_s, REJECTED_AFTER_SILENCE_PAUSE_S)
        return pause_s
