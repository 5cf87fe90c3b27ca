"""What the counter is, told from the answers to this gateway's own calls.  No I/O: calls go out as data,
times come in as figures.

Two things are kept apart.  The *sight*, by which is granted, follows each reading at once where it takes
away, and no sooner than HOLD_MS later where it gives back.  The *belief*, which is told to people, has a
name, follows the table below, and never changes twice within HOLD_MS.

Why it can be told at all: gateways share nothing but the counter, so all that a gateway can learn of
another is whether its digit still grows (see `roll`).  A digit that stands still has three possible
reasons, and no call tells them apart: the other is dead, it is cut off from the counter, or it adds to
another half.  Grants are safe against all three.  For the name, a fourth thing helps: clients of a dead
gateway come to those that are left, while those of a gateway behind a split stay with it.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from enum import Enum

from badgeryoke.decisions.counter_health import presence_register
from badgeryoke.decisions.counter_health.visibility import Visibility

REACH = 3  # a customer's set spans no more than four gateways (the platform's brief)
MOST_UNSEEN_MS = 10_000.0  # of time out of sight is paid back
HOLD_MS = 2000.0  # between two changes of the belief, and before a part is given back
EPOCH_MS = 60_000.0  # an epoch ends with it at all gateways together: so no two are apart for longer
LEAST_GAP = 0.25  # of a beat, between two
STALE_BEATS = 0.9  # beats (and readings) for which a digit stands still before its owner is doubted, ...
GONE_BEATS = 1.9  # ... and before it is said to be out of sight
SLOW_BEATS = 8.0  # the same while the counter is slow: calls are late, and all make fewer
MUTE_MS, MUTE_CALLS = 400.0, 3  # no good answer for so long, and so many bad ones: the counter is dead
STUCK_MS = 1500.0  # calls that are taken and not answered in time: so long at least before it is called dead
LATE_PART, TIMELY_PART = 0.25, 0.12  # of the time-out: a mean above is slow, one below is not
LATE_GAIN = 0.2  # weight of one answer in that mean
CROWD_TIMES, CROWD_MOST = 2.0, 8.0  # a beat turned away stretches the wait for the next, up to so much
EXTRA_GAP_MS = 4000.0  # between two calls beside the beats: with the beats, 2 a second at most
# After so long a silence is named: clients leave a dead gateway within 3 s, and then their number must be
# looked at for longer than customers' traffic takes to move to another gateway, or that looks the same.
DECIDE_MS = 15_000.0
CAME_PART, STAYED_PART = 0.7, 0.3  # of the growth by a dead gateway's clients: dead above, split below
LOOK_MS = 1000.0  # step in which tries are counted, ...
LOOKS_KEPT, LOOKS_NOW = 40, 12  # ... how many of them are kept, and how many are the present
LEAST_TRIES = 20.0  # a second are needed before their number says anything
MOST = presence_register.MOST_GENERATION


class CounterState(Enum):
    """What the counter is held to be."""

    UNKNOWN = "unknown"
    SOUND = "sound"
    SLOW = "slow"
    DEAD = "dead"
    MISSING = "missing"  # a gateway is out of sight; whether by a split is not settled yet
    ABSENT = "absent"  # it is taken for dead: its clients have come here
    SPLIT = "split"
    SWAPPED = "swapped"
    HEALED = "healed"


class Symptom(Enum):
    """What the last answers show, the gravest first."""

    MUTE = "no answers"
    FORGOT = "own units gone"
    ALONE = "all others out of sight"
    HIDDEN = "some out of sight"
    DESERTED = "out of sight, and their clients here"
    STILL_HIDDEN = "out of sight for long, and their clients not here"
    LATE = "late answers"
    CLEAR = "all in sight, in time"


_B, _S = CounterState, Symptom
_TROUBLE = {
    _S.MUTE: _B.DEAD,
    _S.FORGOT: _B.SWAPPED,
    _S.ALONE: _B.SPLIT,
    _S.HIDDEN: _B.MISSING,
    _S.DESERTED: _B.ABSENT,
    _S.STILL_HIDDEN: _B.SPLIT,
}
TRANSITIONS: dict[CounterState, dict[Symptom, CounterState]] = {
    _B.UNKNOWN: {**_TROUBLE, _S.LATE: _B.SLOW, _S.CLEAR: _B.SOUND},
    _B.SOUND: {**_TROUBLE, _S.LATE: _B.SLOW, _S.CLEAR: _B.SOUND},
    _B.SLOW: {**_TROUBLE, _S.LATE: _B.SLOW, _S.CLEAR: _B.SOUND},
    _B.DEAD: {**_TROUBLE, _S.LATE: _B.SLOW, _S.CLEAR: _B.HEALED},
    _B.MISSING: {**_TROUBLE, _S.LATE: _B.SLOW, _S.CLEAR: _B.HEALED},
    _B.ABSENT: {**_TROUBLE, _S.HIDDEN: _B.ABSENT, _S.LATE: _B.SLOW, _S.CLEAR: _B.SOUND},
    _B.SPLIT: {**_TROUBLE, _S.HIDDEN: _B.SPLIT, _S.LATE: _B.HEALED, _S.CLEAR: _B.HEALED},
    _B.SWAPPED: {**_TROUBLE, _S.LATE: _B.SLOW, _S.CLEAR: _B.SOUND},
    _B.HEALED: {**_TROUBLE, _S.LATE: _B.SLOW, _S.CLEAR: _B.SOUND},
}


@dataclass(frozen=True, slots=True)
class RegisterCall:
    """One call to the counter: add so many units to a name that lives so long, and tell the total."""

    name: int
    units: float
    life_ms: float
    group: int
    kind: presence_register.Kind
    era: int
    beat: bool  # it adds to the own digit
    told: int = 0  # the generation that it makes known; 0: none


@dataclass(frozen=True, slots=True)
class CounterStateChange:
    """A change of the belief, for the log and the laboratory."""

    at_ms: float
    old: CounterState
    new: CounterState
    sign: Symptom
    hidden: tuple[int, ...]


class CounterHealthDetector:
    """One gateway's watch over the counter; `sight` is what it grants by."""

    def __init__(self, me: int, gateways: int, timeout_ms: float) -> None:
        self.me, self.gateways, self.timeout_ms = me, gateways, max(timeout_ms, 1.0)
        self.sight = Visibility(me, gateways)
        self.belief = CounterState.UNKNOWN
        self.changes: list[CounterStateChange] = []  # not yet fetched by take_changes
        self.watched = presence_register.neighbours(me, gateways, min(REACH, gateways - 1))
        self.group = me // presence_register.GROUP
        others = sorted({number // presence_register.GROUP for number in self.watched} - {self.group})
        self._turns: tuple[int, ...] = tuple(group for other in others for group in (self.group, other)) or (
            self.group,
        )
        # Beats between two of another's beats, or of my readings of it, whichever is longer.
        self._pace = {
            number: max(
                1.0 if gateways <= presence_register.GROUP else 2.0,
                float(
                    len(self._turns)
                    if number // presence_register.GROUP != self.group
                    else min(len(self._turns), 2)
                ),
            )
            for number in self.watched
        }
        self._turn = 0
        self._fresh, self._readings = True, 0  # until each roll was read twice, nobody is known to be there
        self.started = self._changed = math.nan
        self._known: dict[int, bool] = {}  # gateways that have been there at some time
        self._digit: dict[int, int] = {}  # last seen in its era, ...
        self._digit_era: dict[int, int] = {}  # ... which is this
        self._read_at: dict[int, float] = {}  # when a group's roll was last read
        self._moved: dict[int, float] = {}  # when it was last seen to grow
        self._own = 0  # the own digit as last seen, ...
        self._own_era = -1  # ... in this era
        self._last_own = 0  # and in the one before
        self._closed = True  # the era before was read once more
        self._mustered = [-1, -1]  # musters told of this gateway, and read for others
        self._generation, self._generation_era = 0, -1
        self._seen_generation = 0
        self._publish_in = 0  # beats until a loss is made known; 0: none to make known
        self._agreed = -1
        self._forgot_at = -math.inf
        self._out = 0  # calls without an answer
        self._extra_at = self._beat_at = -math.inf
        self._last_good, self._bad, self._refused = math.nan, 0, 0
        self._muted_at = -math.inf  # when the counter last did not answer at all
        self._late = 0.0
        self._slow = False
        self._stretch = 1.0
        self._hidden_since: dict[int, float] = {}
        self._tries: deque[int] = deque(maxlen=LOOKS_KEPT)
        self._tries_now, self._look = 0, -1
        self._usual = 0.0  # tries a second before the present silence

    # Calls ----------------------------------------------------------------------------------------------

    def next_beat(self, now: float) -> float:
        """When to call next: beats lie on the wall clock, each gateway's at a place of its own in the beat,
        so that between two readings of one lies one beat of every other."""
        step = presence_register.BEAT_MS * self._stretch
        among = min(self.gateways, presence_register.GROUP)
        phase = presence_register.BEAT_MS * (self.me % presence_register.GROUP) / among
        at = (math.floor((now - phase) / presence_register.BEAT_MS) + 1) * presence_register.BEAT_MS + phase
        # this one came early, by a timer or a clock set back
        if at - now < LEAST_GAP * presence_register.BEAT_MS:
            at += presence_register.BEAT_MS
        return at if step <= presence_register.BEAT_MS else at + step - presence_register.BEAT_MS

    def beat(self, now: float) -> list[RegisterCall]:
        """The calls that are due now: the beat, and at most one beside it."""
        if math.isnan(self.started):
            self.started = self.sight.started = self._changed = self._last_good = now
            if self.watched:  # nobody is in sight yet
                self.sight.change(now, False, frozenset(self.watched), frozenset(), 0.0)
            else:
                self._fresh = False
        self._count_tries(now)
        agreed = int(now // EPOCH_MS)
        if agreed != self._agreed:  # names of no epoch again, from each customer's next period on
            self._agreed = agreed
            self.sight.epoch = 0
        if self._out:  # the last has no answer, which its time-out will tell
            return []
        # a clock that was set back stands still awhile
        if now - self._beat_at < LEAST_GAP * presence_register.BEAT_MS:
            return []
        self._beat_at = now
        group = self._turns[self._turn % len(self._turns)]
        self._turn += 1
        era = int(now // presence_register.ERA_MS)
        calls = []
        if group == self.group:
            if era != self._own_era:
                self._closed = self._own_era != era - 1
                self._last_own, self._own, self._own_era = self._own, 0, era
                self._generation, self._generation_era, self._seen_generation = 0, era, 0
            units = presence_register.place(self.me) if self._own < presence_register.TOP else 0.0
            told = self._to_publish()
            calls.append(
                RegisterCall(
                    presence_register.name_of(presence_register.Kind.ROLL, group, era),
                    units + told * presence_register.GENERATION,
                    presence_register.LIFE_MS,
                    group,
                    presence_register.Kind.ROLL,
                    era,
                    units > 0,
                    told,
                )
            )
        else:
            calls.append(
                RegisterCall(
                    presence_register.name_of(presence_register.Kind.ROLL, group, era),
                    0.0,
                    presence_register.LIFE_MS,
                    group,
                    presence_register.Kind.ROLL,
                    era,
                    False,
                )
            )
        if self._stretch == 1.0 and (extra := self._extra(now, era)) is not None:
            calls.append(extra)
            self._extra_at = now
        self._out = len(calls)
        return calls

    def _extra(self, now: float, era: int) -> RegisterCall | None:
        """The call beside the beat: a muster to be told or read, or the last era to be closed."""
        muster = int(now // presence_register.MUSTER_MS)
        fresh = now - self.started < 2 * presence_register.BEAT_MS
        if not fresh and now - self._extra_at < EXTRA_GAP_MS:
            return None
        if self._mustered[0] != muster:
            first, self._mustered[0] = self._mustered[0] < 0, muster
            if not first:
                self._mustered[1] = muster - 1
            return self._muster_call(muster, presence_register.place(self.me))
        if self._mustered[1] != muster - 1:
            self._mustered[1] = muster - 1
            return self._muster_call(muster - 1, 0.0)
        if not self._closed and self._own_era == era:
            self._closed = True
            return RegisterCall(
                presence_register.name_of(presence_register.Kind.ROLL, self.group, era - 1),
                0.0,
                presence_register.LIFE_MS,
                self.group,
                presence_register.Kind.ROLL,
                era - 1,
                False,
            )
        return None

    def _muster_call(self, muster: int, units: float) -> RegisterCall:
        return RegisterCall(
            presence_register.name_of(presence_register.Kind.MUSTER, self.group, muster),
            units,
            presence_register.LIFE_MS,
            self.group,
            presence_register.Kind.MUSTER,
            muster,
            False,
        )

    def _to_publish(self) -> int:
        """Generations to add to this beat: a loss that was found here and that nobody has made known yet.

        The lowest of a group goes first and the others a beat later each, so that one tells it for all.
        """
        if not self._publish_in:
            return 0
        self._publish_in -= 1
        if self._publish_in or self._seen_generation >= MOST:
            return 0
        return max(max(self._generation, 1) - self._seen_generation, 0)

    # Answers --------------------------------------------------------------------------------------------

    def answer(
        self,
        now: float,
        call: RegisterCall,
        good: bool,
        rtt_ms: float,
        total: float,
        crowded: bool = False,
        refused: bool = False,
    ) -> None:
        """Take in the answer to one call.

        `good`: a total came; `crowded`: it was turned away; `refused`: there was no connection.
        """
        self._out = max(self._out - 1, 0)
        self.witness(now, good, rtt_ms, refused)
        if not good:
            if call.told:  # nobody may have heard of it: again with the next beat
                self._publish_in = 1
            if crowded:
                self._stretch = min(self._stretch * CROWD_TIMES, CROWD_MOST)  # crowded: others need it more
            self.judge(now)
            return
        self._stretch = 1.0
        read = presence_register.digits(total)
        if call.kind is presence_register.Kind.MUSTER:
            for index, digit in enumerate(read[: presence_register.GROUP]):
                if digit:
                    self._known[call.group * presence_register.GROUP + index] = True
        else:
            self._read_roll(now, call, read)
        self.judge(now)

    def _read_roll(self, now: float, call: RegisterCall, read: tuple[int, ...]) -> None:
        if call.era == int(now // presence_register.ERA_MS):
            self._readings += 1
            self._read_at[call.group] = now
        place = self.me % presence_register.GROUP
        if call.group == self.group:
            own = read[place]
            if call.era == self._own_era:
                expected = self._own + call.beat
                self._own = own
                generation = read[presence_register.GROUP]
                self._seen_generation = generation
                if generation > self._generation:
                    self._generation = generation
                    self._publish_in = 0
                    self.sight.renew(call.era * 10 + generation)
                    self._forgot_at = now
                if own < expected:
                    self._forgot(now, call.era)
            elif call.era == self._own_era - 1 and own < self._last_own:
                self._forgot(now, self._own_era)
        for index, digit in enumerate(read[: presence_register.GROUP]):
            number = call.group * presence_register.GROUP + index
            if number == self.me or number >= self.gateways or not digit:
                continue
            self._known[number] = True
            era = self._digit_era.get(number, -1)
            if number not in self._moved:  # it may have stood still for long
                self._moved[number] = self.started
            elif call.era > era or (call.era == era and digit != self._digit[number]):
                self._moved[number] = now
            if call.era >= era:
                self._digit[number], self._digit_era[number] = digit, call.era

    def _forgot(self, now: float, era: int) -> None:
        """The counter has lost units that it had confirmed: customers' names move to a new epoch."""
        self._forgot_at = now
        if self._generation < MOST:
            self._generation += 1
        self.sight.renew(era * 10 + self._generation)
        self._publish_in = 2 + self.me % presence_register.GROUP

    def witness(self, now: float, good: bool, rtt_ms: float, refused: bool = False) -> None:
        """Any call of this gateway was answered, or not: customers' calls tell of the counter as well.

        `refused`: there was no connection.  One that is merely slow would have taken the call.
        """
        if good:
            self._last_good, self._bad, self._refused = now, 0, 0
        else:
            self._bad += 1
            self._refused += refused
        if not refused:
            late = min(rtt_ms / self.timeout_ms, 1.0) if good else 1.0
            self._late += LATE_GAIN * (late - self._late)
        if self._slow:
            self._slow = self._late > TIMELY_PART
        else:
            self._slow = self._late > LATE_PART
        if not good and not self.sight.deaf and self._mute(now):
            self.judge(now)

    def tried(self) -> None:
        """A client's try has come."""
        self._tries_now += 1

    def _count_tries(self, now: float) -> None:
        look = int(now // LOOK_MS)
        if self._look < 0:
            self._look = look
        if look != self._look:
            self._tries.append(int(self._tries_now / max(look - self._look, 1)))
            self._look, self._tries_now = look, 0

    # What follows from them -----------------------------------------------------------------------------

    def _mute(self, now: float) -> bool:
        return self._bad >= MUTE_CALLS - (now - self._last_good > 2 * presence_register.BEAT_MS) and (
            now - self._last_good >= MUTE_MS
        )

    def _silent(self, now: float, number: int) -> float:
        """For how many of its beats a known gateway has not been seen to grow; 0 where it was never there."""
        if not self._known.get(number):
            return 0.0
        now = self._read_at.get(number // presence_register.GROUP, now)
        moved = self._moved.get(number)
        if moved is None:
            return math.inf
        beat = presence_register.BEAT_MS * self._pace[number]
        begun = math.floor(now / presence_register.ERA_MS) * presence_register.ERA_MS
        if begun - 1.5 * beat <= moved < begun and now - begun < beat:
            return 0.0  # a new era's name begins at nothing, and the other has a beat's time to come to it
        return (now - moved) / beat

    def judge(self, now: float) -> None:
        """Bring sight and belief in line with what is known."""
        mute = self._mute(now)
        if self._fresh:
            if not mute and self._readings < 2 * len(set(self._turns)):
                return
            self._fresh = False
            self.sight.changed = -math.inf  # what is given now was not taken away before
        doubted: frozenset[int] = frozenset()
        gone: tuple[int, ...] = ()
        if not mute:
            limit = SLOW_BEATS if self._slow or self._stretch > 1 else STALE_BEATS
            worse = SLOW_BEATS if self._slow or self._stretch > 1 else GONE_BEATS
            silent = {number: self._silent(now, number) for number in self.watched}
            doubted = frozenset(number for number in self.watched if silent[number] >= limit)
            since_back = (now - self._muted_at) / presence_register.BEAT_MS
            gone = tuple(
                number
                for number in self.watched
                if silent[number] >= worse and since_back >= (worse + 1.0) * self._pace[number]
            )
        self._look_at(now, mute, doubted)
        sign = self._sign(now, mute, gone)
        new = TRANSITIONS[self.belief][sign]
        if new is self.belief:
            return
        if self.belief is not CounterState.UNKNOWN and now - self._changed < HOLD_MS:
            return
        if self.belief is CounterState.SWAPPED and sign is Symptom.FORGOT:
            return
        self.changes.append(CounterStateChange(now, self.belief, new, sign, gone))
        del self.changes[:-64]
        self.belief, self._changed = new, now

    def _sign(self, now: float, mute: bool, gone: tuple[int, ...]) -> Symptom:
        for number in list(self._hidden_since):
            if number not in gone:
                del self._hidden_since[number]
        if gone and not self._hidden_since:
            kept = list(self._tries)[:-2] or [0]  # the last two may lie within the silence
            self._usual = sum(kept) / len(kept) * 1000.0 / LOOK_MS
        for number in gone:
            self._hidden_since.setdefault(number, now)
        if mute and (self._refused >= MUTE_CALLS or now - self._last_good >= STUCK_MS):
            return Symptom.MUTE
        if now - self._forgot_at < presence_register.BEAT_MS:
            return Symptom.FORGOT
        if gone:
            known = [number for number in self.watched if self._known.get(number)]
            if len(gone) == len(known) and len(gone) > 1:
                return Symptom.ALONE
            if now - min(self._hidden_since.values()) < DECIDE_MS:
                return Symptom.HIDDEN
            came = self._came(len(gone), len(known))
            return (
                Symptom.DESERTED
                if came > CAME_PART
                else Symptom.STILL_HIDDEN
                if came < STAYED_PART
                else Symptom.HIDDEN
            )
        return Symptom.LATE if self._slow else Symptom.CLEAR

    def _came(self, gone: int, known: int) -> float:
        """How much of the growth in tries has come that the silent gateways' clients would make; between the
        two bounds where too few come to tell."""
        lately = list(self._tries)[-LOOKS_NOW:]
        now = sum(lately) / max(len(lately), 1) * 1000.0 / LOOK_MS
        if min(now, self._usual) < LEAST_TRIES:
            return (CAME_PART + STAYED_PART) / 2
        expected = self._usual * gone / max(known + 1 - gone, 1)
        return (now - self._usual) / expected

    def _look_at(self, now: float, mute: bool, doubted: frozenset[int]) -> None:
        """Change the sight: at once to less, and back to more only some time after the last change."""
        sight = self.sight
        absent = doubted if self.belief is CounterState.ABSENT else frozenset()
        if (mute, doubted, absent) == (sight.deaf, sight.hidden, sight.absent):
            return
        less = (mute and not sight.deaf) or bool(doubted - sight.hidden)
        if mute:  # who was in sight before need not be when the counter is back, and is not yet gone either
            self._moved.update(dict.fromkeys(self._moved, -math.inf))
            self._muted_at = now
        if less:
            since = min(
                (self._moved.get(number, now) for number in doubted - sight.hidden), default=self._last_good
            )
            since = max(since, now - MOST_UNSEEN_MS)
            sight.change(now, mute or sight.deaf, doubted | sight.hidden, absent, now - since)
        elif now - sight.changed >= HOLD_MS or (not mute and sight.deaf and doubted):
            sight.change(now, mute, doubted, absent, 0.0)

    def common_since(self, now: float, first: int, spread: int) -> float:
        """Up to when all others of a set were surely at this gateway's counter: their last growth that was
        seen, less the time since the reading before.  Now, where none of them was ever there."""
        since = now
        for number in self.watched:  # six at most, however wide the set is
            if (number - first) % self.gateways < spread and self._known.get(number):
                since = min(
                    since,
                    self._moved.get(number, self.started) - self._pace[number] * presence_register.BEAT_MS,
                )
        return since

    def take_changes(self) -> list[CounterStateChange]:
        """The changes of the belief since the last call."""
        changes, self.changes = self.changes, []
        return changes
