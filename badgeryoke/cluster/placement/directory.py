"""Which group holds a key, who copies which group, and how a lost copy is made again.

Keys are cut into groups by rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase
hit rates", 1998) with xxhash.  The founding record gives the first copies; from there on `Placing`, a part of
the fleet's own group, holds who copies what, and every change is an entry of its log:

    Enrol    an Id is its name's present one; the one before is lost for good
    Replace  begins a move of one copy: the group's leader takes `new` in and lets `lost` go (either may be empty)
    Moved    a group's leader reports its voters; the move is over when `new` is among them and `lost` is not
    Forgo    a move that cannot be ended is given up; whoever was taken in as a learner goes again

A group's leader does nothing but `wanted`: learn, wait until it has caught up, promote, remove the lost.  So
a group has one voter too many for a moment and never one too few, and a removal that would leave fewer living
voters than a majority waits.  Opinions of membership only decide what the leader of the fleet's group
*proposes*.
"""

from __future__ import annotations

import math
from collections import Counter
from functools import lru_cache
from typing import Any

import msgspec
import xxhash

from badgeryoke.cluster.bootstrap import MOST_MEMBERS, BootstrapRecord
from badgeryoke.cluster.errors import InvalidCall, NotFound, Overloaded, StaleIncarnation, WrongState
from badgeryoke.cluster.events import ChangeMembership, MembershipAction, PersistedGroup
from badgeryoke.cluster.invariants import Invariants, Rule
from badgeryoke.cluster.messages import EntryKind, GroupConfiguration, LogEntry, MemberId, member_name
from badgeryoke.cluster.raft.log import RaftLog, encode_config
from badgeryoke.cluster.state_machine.part import FLEET, ApplyResult, Command, LeaderView
from badgeryoke.cluster.timings import Timings

LONGEST_NAME = 64
MOST_PAST = 4  # earlier Ids remembered of a name: none of them can come back
SLOW = "the newcomer does not catch up"
# a newcomer that takes longer to catch up is given up, and not asked again for as long
LONGEST_MOVE_MS = 60_000.0
FORCED_TERMS = 1 << 20  # a forced group's term goes on by so much: no member given up can have reached it


def _score(one: str, other: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{one}\0{other}".encode())


@lru_cache(maxsize=8192)
def group_of(key: str, count: int) -> str:
    """The group of a command's key: "" is the fleet's own, anything else one of "g0" to "g(count - 1)".

    The key's first letter, its kind, does not count.  One group more moves 1 / (count + 1) of the keys."""
    if not key:
        return FLEET
    return max((f"g{at}" for at in range(count)), key=lambda group: _score(group, key[1:]))


def copies_for(copies: int, members: int) -> int:
    """Copies that a group has: an odd number within `copies` and the members there are; both, where there
    are two."""
    most = min(copies, members)
    return most if most % 2 or most == 2 else most - 1


def first_placing(record: BootstrapRecord) -> dict[str, tuple[MemberId, ...]]:
    """Voters of each group at the founding: a hall that has none yet first, then who holds least; hashing
    breaks ties.

    Within a hall nobody holds over one group more than another that could have taken it."""
    count, load = copies_for(record.copies, len(record.members)), Counter[MemberId]()
    placed: dict[str, tuple[MemberId, ...]] = {}
    for group in (FLEET, *(f"g{at}" for at in range(record.groups))):
        chosen: list[MemberId] = []
        halls: set[str] = set()
        for _ in range(count):
            who, hall = min(
                ((who, hall) for who, hall in record.members if who not in chosen),
                key=lambda one: (one[1] in halls, load[one[0]], -_score(group, one[0])),
            )
            chosen.append(who)
            halls.add(hall)
            load[who] += 1
        placed[group] = tuple(chosen)
    return placed


# What the log of the fleet's group takes
# ------------------------------------------------------------------------------


class EnrolMember(Command, frozen=True, tag="Enrol"):
    """An Id is its name's present one."""

    name: str
    who: MemberId
    hall: str

    def validate(self) -> str:
        if not 1 <= len(self.name) <= LONGEST_NAME or len(self.hall) > LONGEST_NAME:
            return f"name, hall: expected up to {LONGEST_NAME} letters"
        if member_name(self.who) != self.name or not len(self.name) + 1 < len(self.who) <= 2 * LONGEST_NAME:
            return f"who: expected {self.name}/INCARNATION"
        return ""


class ReplaceReplica(Command, frozen=True, tag="Replace"):
    """Begin a move: `new` for `lost`; one of them may be empty.  `most` moves may be under way with it."""

    group: str
    lost: MemberId
    new: MemberId
    most: int

    def validate(self) -> str:
        if self.lost == self.new:
            return "lost, new: expected two, or one and nothing"
        return "" if self.most >= 1 else "most: expected 1 at the least"


class ReplicaMoved(Command, frozen=True, tag="Moved"):
    """A group's voters, as its leader has them committed; `number`: the index of that configuration in its
    log."""

    group: str
    voters: tuple[MemberId, ...]
    number: int
    behind: tuple[MemberId, ...] = ()  # voters that have not caught up

    def validate(self) -> str:
        return "" if 1 <= len(self.voters) <= 16 and self.number >= 0 else "voters, number: out of bounds"


class CancelMove(Command, frozen=True, tag="Forgo"):
    """Give a move up."""

    group: str
    new: MemberId
    why: str


class ReadPlacement(Command, frozen=True, tag="Places"):
    """Read who copies what."""

    reads = True


COMMANDS: tuple[type[Command], ...] = (EnrolMember, ReplaceReplica, ReplicaMoved, CancelMove, ReadPlacement)


class ReplicaMove(msgspec.Struct, frozen=True, array_like=True):
    """A copy on its way, since when by the group's time (Unix ms)."""

    lost: MemberId
    new: MemberId
    since: float = 0.0


class GroupPlacement(msgspec.Struct, frozen=True, array_like=True):
    """A group, as its leader last reported it."""

    voters: tuple[MemberId, ...]
    number: int = 0
    behind: tuple[MemberId, ...] = ()
    reports: int = 0


class PlacementDirectory:
    """Who copies which group.  Empty until `begin` or `load`."""

    def __init__(self, timings: Timings, rules: Invariants) -> None:
        self._timings, self._rules = timings, rules
        self.copies = 0  # as the founding record asks for
        self.members: dict[str, tuple[MemberId, str]] = {}  # by name: its present Id, and its hall
        self.past: dict[str, list[MemberId]] = {}  # by name: Ids that are lost for good
        self.groups: dict[str, GroupPlacement] = {}
        self.moves: dict[str, ReplicaMove] = {}  # by group
        self.begun = 0  # moves ever begun
        self.slow: dict[MemberId, int] = {}  # who did not catch up in time, and in which move
        # When this machine's own clock saw them first, never dumped: a stepped wall clock must not time them.
        self._since: dict[tuple[str, MemberId], float] = {}  # a group's move, by its newcomer
        self._slow_since: dict[tuple[MemberId, int], float] = {}

    def begin(self, record: BootstrapRecord) -> None:
        """As founded: the same at every copy, before any entry is applied.  Changes nothing where there is
        state."""
        if self.groups:
            return
        self.copies = record.copies
        self.members = {member_name(who): (who, hall) for who, hall in record.members}
        self.groups = {group: GroupPlacement(voters) for group, voters in first_placing(record).items()}

    # The log
    # ---------------------------------------------------------------------------------------------------------

    def apply(self, at_ms: float, command: Any) -> ApplyResult:
        """Take a command in."""
        problem = command.validate()
        if problem:
            return ApplyResult(error=InvalidCall(command.id, problem))
        if isinstance(command, EnrolMember):
            return self._enrol(command)
        held = self.groups.get(command.group)
        if held is None:
            return ApplyResult(error=NotFound(command.group, "no such group"))
        if isinstance(command, ReplaceReplica):
            return self._replace(at_ms, command, held)
        if isinstance(command, ReplicaMoved):
            return self._moved(command, held)
        move = self.moves.get(command.group)
        if move is None or move.new != command.new:
            return ApplyResult(error=WrongState(command.group, "no such move is under way"))
        del self.moves[command.group]
        if (
            command.new and command.why == SLOW
        ):  # one that was lost meanwhile is as good as any when it is back
            self.slow[command.new] = self.begun
        return ApplyResult("forgone")

    def _enrol(self, command: EnrolMember) -> ApplyResult:
        known = self.members.get(command.name)
        if command.who in self.past.get(command.name, ()):
            return ApplyResult(error=StaleIncarnation(command.who, "a later one is enrolled"))
        if known is None and len(self.members) >= MOST_MEMBERS:
            return ApplyResult(error=Overloaded(command.who, f"{MOST_MEMBERS} members are enrolled"))
        if known is not None and known[0] != command.who:
            self.slow.pop(known[0], None)
            self.past[command.name] = [*self.past.get(command.name, ()), known[0]][-MOST_PAST:]
            for group in [group for group, move in self.moves.items() if move.new == known[0]]:
                if known[0] not in self.groups[group].voters:  # it was to come in and is no more
                    del self.moves[group]
        self.members[command.name] = command.who, command.hall
        return ApplyResult("enrolled")

    def _replace(self, at_ms: float, command: ReplaceReplica, held: GroupPlacement) -> ApplyResult:
        if command.group in self.moves:
            return ApplyResult(error=WrongState(command.group, "a move is under way"))
        if len(self.moves) >= command.most:
            return ApplyResult(error=Overloaded(command.group, f"{len(self.moves)} moves are under way"))
        if command.lost and command.lost not in held.voters:
            return ApplyResult(error=NotFound(command.lost, f"no voter of {command.group}"))
        if command.new and (command.new in held.voters or not self._present(command.new)):
            return ApplyResult(
                error=WrongState(command.new, f"a voter of {command.group} already, or not enrolled")
            )
        if not command.new and len(held.voters) <= 1:
            return ApplyResult(error=WrongState(command.group, "its last voter"))
        self.moves[command.group] = ReplicaMove(command.lost, command.new, at_ms)
        self.begun += 1
        self._rules.check(Rule.CONFIG_ONE, len(self.moves) <= command.most, lambda: f"{self.moves}")
        return ApplyResult("begun")

    def _moved(self, command: ReplicaMoved, held: GroupPlacement) -> ApplyResult:
        if command.number < held.number:
            return ApplyResult(error=WrongState(command.group, "a later report is known"))
        self.groups[command.group] = GroupPlacement(
            command.voters, command.number, command.behind, held.reports + 1
        )
        move = self.moves.get(command.group)
        if (
            move is not None
            and move.lost not in command.voters
            and (not move.new or move.new in command.voters)
        ):
            del self.moves[command.group]
        return ApplyResult("noted")

    def query(self, command: Any) -> ApplyResult:
        """For operators: groups with voters, moves, and who is enrolled."""
        return ApplyResult(
            {
                "members": {name: {"id": who, "hall": hall} for name, (who, hall) in self.members.items()},
                "groups": {
                    group: {"voters": list(held.voters), "behind": list(held.behind)}
                    for group, held in self.groups.items()
                },
                "moves": {group: {"lost": move.lost, "new": move.new} for group, move in self.moves.items()},
                "state": self.dump(),
            }
        )

    def seen(self, now: float) -> None:
        """Note when moves, and newcomers that were given up, were first seen."""
        self._since = {
            key: self._since.get(key, now)
            for key in ((group, move.new) for group, move in self.moves.items())
        }
        self._slow_since = {key: self._slow_since.get(key, now) for key in self.slow.items()}

    def dump(self) -> Any:
        """Plain data."""
        return msgspec.to_builtins(
            [self.copies, self.members, self.past, self.groups, self.moves, self.begun, self.slow]
        )

    def load(self, raw: Any) -> None:
        """In place of all there is."""
        (self.copies, self.members, self.past, self.groups, self.moves, self.begun, self.slow) = (
            msgspec.convert(
                raw,
                tuple[
                    int,
                    dict[str, tuple[MemberId, str]],
                    dict[str, list[MemberId]],
                    dict[str, GroupPlacement],
                    dict[str, ReplicaMove],
                    int,
                    dict[MemberId, int],
                ],
            )
        )
        self._since, self._slow_since = {}, {}

    # What it says
    # ----------------------------------------------------------------------------------------------------

    def voters(self) -> dict[str, tuple[MemberId, ...]]:
        """Of each group, as last reported."""
        return {group: held.voters for group, held in self.groups.items()}

    def holds(self, who: MemberId) -> list[str]:
        """Groups that an Id copies or is to copy."""
        return [
            group
            for group, held in self.groups.items()
            if who in held.voters or (group in self.moves and self.moves[group].new == who)
        ]

    def _present(self, who: MemberId) -> bool:
        known = self.members.get(member_name(who))
        return known is not None and known[0] == who

    def missing(self, view: LeaderView) -> list[str]:
        """What keeps the copies from being whole (COPIES_WHOLE), a line each; empty: every group has its
        copies, all present, alive and caught up, and nothing is on its way."""
        want = copies_for(self.copies, len(self.members))
        lines = [
            f"{group}: {move.new or 'nobody'} for {move.lost or 'nobody'} is under way"
            for group, move in self.moves.items()
        ]
        for group, held in self.groups.items():
            if len(held.voters) != want:
                lines.append(f"{group}: {len(held.voters)} copies of {want}")
            lines += [
                f"{group}: {who} is lost"
                for who in held.voters
                if not self._present(who) or who not in view.alive
            ]
            lines += [
                f"{group}: {who} has not caught up"
                for who in dict.fromkeys((*held.behind, *view.behind.get(group, ())))
                if who in held.voters
            ]
        return lines

    def wanted(
        self, group: str, config: GroupConfiguration, behind: tuple[MemberId, ...], alive: frozenset[MemberId]
    ) -> ChangeMembership | None:
        """The next change that the group's leader makes, given its committed configuration, the learners
        that have not caught up, and who lives.  None: nothing is to be done, or not yet.  Where the one to
        remove is the leader itself it hands over first."""
        found = self._next(group, config, behind)
        if found is None:
            return None
        act, who = found
        voters = tuple(one for one in config.voters if one != who) + ((who,) if act == "promote" else ())
        self._rules.check(
            Rule.CONFIG_ONE,
            len(set(voters) ^ set(config.voters)) <= 1,
            lambda: f"{group}: {config.voters} to {voters}",
        )
        if act != "learn" and sum(one in alive for one in voters) < GroupConfiguration(voters).majority():
            return None  # it could acknowledge nothing with that
        return ChangeMembership(f"{act}:{group}:{who}", MembershipAction(act), who)

    def _next(
        self, group: str, config: GroupConfiguration, behind: tuple[MemberId, ...]
    ) -> tuple[str, MemberId] | None:
        move = self.moves.get(group)
        new = move.new if move is not None else ""
        for who in config.learners:
            if who != new:
                return "remove", who  # of a move that was given up
        if move is None:
            return None
        if new and new not in config.voters:
            if new not in config.learners:
                return "learn", new
            return None if new in behind else ("promote", new)
        return ("remove", move.lost) if move.lost in config.voters else None

    def report(
        self, group: str, config: GroupConfiguration, number: int, behind: tuple[MemberId, ...] = ()
    ) -> ReplicaMoved | None:
        """What the group's leader has to report of its committed configuration; None where it is known.
        `behind`: voters that have long not caught up (a second or more), so that each lag is not an entry."""
        held = self.groups.get(group)
        behind = tuple(who for who in config.voters if who in behind)
        if held is None or number < held.number or (held.voters, held.behind) == (config.voters, behind):
            return None
        return ReplicaMoved(
            id=f"moved:{group}:{number}:{held.reports}:{'+'.join(behind)}",
            group=group,
            voters=config.voters,
            number=number,
            behind=behind,
        )

    # The leader's work
    # -----------------------------------------------------------------------------------------------

    def leader_tasks(self, view: LeaderView) -> list[Command]:
        """Enrol who came, give up what cannot end, then repair; even out only when nothing else is wrong."""
        if not self.groups:
            return []
        made: list[Command] = []
        for who in sorted(view.alive):
            name = member_name(who)
            if not self._present(who) and name in view.halls and who not in self.past.get(name, ()):
                made.append(EnrolMember(id=f"enrol:{who}", name=name, who=who, hall=view.halls[name]))
        made += self._forgo(view)
        if made:
            return made  # what follows looks at the state that comes of it
        room = view.timings.repair_at_once - len(self.moves)
        if room > 0:
            made += self._repairs(view, room)
        if (
            not made
            and not self.moves
            and not self.missing(view)
            and (move := self._evened(view)) is not None
        ):
            made.append(self._begin(view, 0, *move))
        return made

    def _begin(self, view: LeaderView, at: int, group: str, lost: MemberId, new: MemberId) -> ReplaceReplica:
        return ReplaceReplica(
            id=f"replace:{group}:{lost}:{new}:{self.begun + at}",
            group=group,
            lost=lost,
            new=new,
            most=view.timings.repair_at_once,
        )

    def _lost(self, view: LeaderView, who: MemberId) -> bool:
        """For good, or for longer than a copy is waited for."""
        dead = view.dead_for
        return not self._present(who) or (
            who not in view.alive
            and dead.get(who, dead.get(member_name(who) + "/", 0.0)) >= view.timings.repair_after_ms
        )

    def _acts(self, view: LeaderView, held: GroupPlacement) -> bool:
        """Whether the group has a living majority: otherwise it can take nobody in, and must not block
        others."""
        return (
            sum(self._present(who) and who in view.alive for who in held.voters)
            >= GroupConfiguration(held.voters).majority()
        )

    def _forgo(self, view: LeaderView) -> list[Command]:
        found: list[Command] = []
        for group, move in self.moves.items():
            held = self.groups[group]
            if move.new and move.new not in held.voters and self._lost(view, move.new):
                why = "the newcomer is lost"
            elif (
                move.new
                and move.new not in held.voters
                and self._long(view, self._since.get((group, move.new)))
            ):
                why = SLOW
            elif (
                not self._acts(view, held)
                and sum(self._lost(view, who) for who in held.voters)
                > len(held.voters) - GroupConfiguration(held.voters).majority()
            ):
                why = "the group has lost its majority"
            else:
                continue
            found.append(
                CancelMove(id=f"forgo:{group}:{move.new}:{self.begun}", group=group, new=move.new, why=why)
            )
        return found

    @staticmethod
    def _long(view: LeaderView, since: float | None) -> bool:
        """Whether so much time has gone by since, of which this leader saw all."""
        return since is not None and view.now - max(since, view.lead_since) > LONGEST_MOVE_MS

    def _loads(self) -> Counter[MemberId]:
        load = Counter(who for held in self.groups.values() for who in held.voters)
        for group, move in self.moves.items():
            if move.new and move.new not in self.groups[group].voters:
                load[move.new] += 1
        return load

    def _candidates(self, view: LeaderView, held: GroupPlacement) -> list[tuple[MemberId, str]]:
        return [
            (who, hall)
            for who, hall in self.members.values()
            if who in view.alive
            and who not in held.voters
            and (who not in self.slow or self._long(view, self._slow_since.get((who, self.slow[who]))))
        ]

    def _repairs(self, view: LeaderView, room: int) -> list[Command]:
        """Copies to make again, the group with the fewest living first, then the fleet's own."""
        want, load = copies_for(self.copies, len(self.members)), self._loads()
        broken: list[tuple[int, bool, str, MemberId, bool]] = []
        for group, held in self.groups.items():
            if group in self.moves or not self._acts(view, held):
                continue
            lost = [who for who in held.voters if self._lost(view, who)]
            living = len(held.voters) - len(lost)
            if len(held.voters) > want:
                gone = lost[0] if lost else max(held.voters, key=lambda who: (load[who], who))
                broken.append((living, group != FLEET, group, gone, False))
            elif lost or len(held.voters) < want:
                broken.append(
                    (living, group != FLEET, group, lost[0] if len(held.voters) == want else "", True)
                )
        made: list[Command] = []
        for _, _, group, gone, needs in sorted(broken):
            held = self.groups[group]
            new = ""
            if needs:
                halls = {
                    self.members[member_name(who)][1] for who in held.voters if not self._lost(view, who)
                }
                found = min(
                    self._candidates(view, held),
                    default=None,
                    key=lambda one: (one[1] in halls, load[one[0]], -_score(group, one[0])),
                )
                if found is None:
                    continue  # until somebody comes
                new = found[0]
                load[new] += 1
            made.append(self._begin(view, len(made), group, gone, new))
            if len(made) == room:
                break
        return made

    def _evened(self, view: LeaderView) -> tuple[str, MemberId, MemberId] | None:
        """One move that serves a hall more or evens the load; each lowers a bounded sum, so that it comes
        to an end."""
        load = self._loads()
        best: tuple[tuple[int, int], str, MemberId, MemberId] | None = None
        for group in sorted(self.groups):
            held = self.groups[group]
            of = {who: self.members[member_name(who)][1] for who in held.voters}
            least: dict[str, MemberId] = {}
            for who, hall in sorted(self._candidates(view, held), key=lambda one: (load[one[0]], one[0])):
                least.setdefault(hall, who)
            for lost in held.voters:
                for hall, new in least.items():
                    rest = Counter(other for who, other in of.items() if who != lost)
                    halls = len(rest) + (hall not in rest) - len(set(of.values()))
                    gain = halls, load[lost] - load[new]
                    if (halls > 0 or (halls == 0 and gain[1] >= 2)) and (best is None or gain > best[0]):
                        best = gain, group, lost, new
        return best[1:] if best is not None else None


def forced(
    saved: PersistedGroup, group: str, survivor: MemberId, lost: tuple[MemberId, ...], now: float
) -> PersistedGroup:
    """A group that lost its majority for good, restarted by the operators from one copy's log as its sole
    voter.

    `lost` has to name all the other voters that stand in this log, which makes the act safe to repeat: once
    it is done, or where it is meant for another state, `saved` comes back as it is.  `now` (Unix ms) is
    written into the log with it.  Raises ValueError for a log that does not hang together.

    What may be lost: whatever was acknowledged by the others without this one.  What may come: calls whose
    outcome was unknown, at the end of this log, are taken.  Those given up must never start again with their
    old folders.
    """
    log = RaftLog.load(saved)
    config = log.config
    if config is None or survivor not in config.voters or {survivor, *lost} != set(config.voters) or not lost:
        return saved
    term, voters = saved.current_term + FORCED_TERMS, config.voters
    made = [log.entry_at(index) for index in range(log.base_index + 1, log.last_index + 1)]
    for who in lost:  # one at a time, as every change of members
        voters = tuple(one for one in voters if one != who)
        made.append(
            LogEntry(
                log.base_index + len(made) + 1,
                term,
                EntryKind.CONFIG,
                encode_config(GroupConfiguration(voters)),
            )
        )
    note = msgspec.msgpack.encode(
        {"forced": group, "survivor": survivor, "lost": lost, "at_ms": math.floor(now)}
    )
    made.append(LogEntry(log.base_index + len(made) + 1, term, EntryKind.NOTHING, note))
    return PersistedGroup(term, survivor, saved.snapshot, tuple(made))
