"""All kinds of trouble by name, and what follows from a set of them.

A kind keeps a random sequence of its own, so that what it draws for a seed doesn't depend on the
kinds beside it. Kinds that one class makes share the sequence and the class.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto
from random import Random

from soak.answer_end_faults import PLAIN_SLOTS, AnswerEndFaults
from soak.callers import Callers
from soak.calls import Call
from soak.change_faults import ChangeFaults
from soak.deadly_faults import CrashFaults, CrashRestarts, PartCrashFaults
from soak.departure_faults import DepartureFaults
from soak.early_faults import EarlyFaults
from soak.faults import FAULT_KINDS, Faults
from soak.interruptions import Interruptions
from soak.notice_faults import NoticeFaults
from soak.pair_faults import PairFaults
from soak.partition_faults import PartitionFaults
from soak.phase_faults import RefusalFaults, ShortageFaults
from soak.planned_faults import PlannedFaults
from soak.rate_faults import RateFaults
from soak.silence_faults import SilenceFaults
from soak.silent_runner_faults import SilentRunnerFaults
from soak.site import REVOCATION_SECONDS, Site
from soak.trouble import Trouble
from soak.unending_faults import UnendingFaults
from soak.wave_faults import WaveFaults

__all__ = ["KINDS", "CallGroup", "Kind", "Needs", "Play", "calls_of", "find_conflict", "needs_of"]

# The revocation time of sites whose connections go silent, or whose entries lose their source: only
# the contact time and the apply time may then end a wait, and no state is too old to serve by.
LONG_REVOCATION_SECONDS = 12.0


class CallGroup(Enum):
    """How the calls of a kind are judged: like those of all callers, apart, or as crash requests.

    docs/JUDGES.md tells which judges leave out the last two.
    """

    COMMON = auto()
    APART = auto()
    CRASH = auto()


@dataclass(frozen=True)
class Needs:
    """What kinds need of a site before it starts.

    A plain runner works on `plain_slots` requests at once, 0 for any number.
    """

    plain_slots: int = 0
    revocation_seconds: float = REVOCATION_SECONDS
    has_second_service: bool = False
    min_entries: int = 1


@dataclass
class Play:
    """What all kinds of trouble of one seed share.

    `names` are the kinds that are played, all usual ones if it is empty.
    """

    site: Site
    callers: Callers
    seed: int
    names: Sequence[str]
    log_fault: Callable[[str], None]
    interruptions: Interruptions = field(default_factory=Interruptions)
    _randoms: dict[str, Random] = field(default_factory=dict)

    def new(
        self, trouble_class: Callable[..., Trouble], sequence: str, **options: object
    ) -> Trouble:
        """Return trouble of a class, which draws from the random sequence of that name."""
        random = self.random_of(sequence)
        return trouble_class(
            self.site, self.callers, random, self.log_fault, self.interruptions, **options
        )

    def random_of(self, sequence: str) -> Random:
        """Return the random sequence of a name; that of an empty name is the callers'."""
        if not sequence:
            return self.callers.random
        return self._randoms.setdefault(sequence, Random(f"{sequence} of {self.seed}"))

    def make_troubles(self) -> list[tuple[str, Trouble]]:
        """Make the trouble of all kinds that are played, each with the name of one of its kinds."""
        makers = {KINDS[name].make: name for name in played_names(self.names)}
        return [(name, make(self)) for make, name in makers.items()]

    def make_crash_restarts(self) -> Trouble:
        """Make what restarts the runners that requests have crashed."""
        return self.new(CrashRestarts, "deadly")


@dataclass(frozen=True)
class Kind:
    """A kind of trouble: its description, how it is made and what it needs.

    A usual kind is played where no kind is named.
    """

    description: str
    make: Callable[[Play], Trouble]
    needs: Needs = Needs()
    call_group: CallGroup = CallGroup.APART
    is_usual: bool = False


def _simple(trouble_class: Callable[..., Trouble], sequence: str) -> Callable[[Play], Trouble]:
    return lambda play: play.new(trouble_class, sequence)


def _make_faults(play: Play) -> Trouble:
    return play.new(Faults, "", only=[each for each in play.names if each in FAULT_KINDS])


def _make_waves(play: Play) -> Trouble:
    return play.new(WaveFaults, "waves", keeps_connections="kept-wave" in play.names)


def _make_unending(play: Play) -> Trouble:
    return play.new(UnendingFaults, "unending", has_bodies="unending" in play.names)


def _make_planned(play: Play) -> Trouble:
    return play.new(PlannedFaults, "planned", has_changes="changes" not in play.names)


SECOND_SERVICE_NEEDS = Needs(has_second_service=True)
# An entry is compared with others, or its callers go to others.
SEVERAL_ENTRIES = Needs(min_entries=2)
FAULT_DESCRIPTIONS = {
    "runner": "a runner is killed or paused",
    "entry": "an entry is killed, stopped, paused or reloaded",
    "runner_link": "the link to a runner is slow, silent or reset",
    "store_link": "the link of an entry to the store is slow, silent or reset",
    "front_link": "the link of callers to an entry is slow, silent or reset",
    "store_refuses": "the store refuses",
    "change": "a new desired state, half of which revoke a key",
    "still": "a runner holds its output back",
    "aimed": "a runner holds its output back until its streams are moved",
    "odd": "a share of a runner's answers is faulty",
    "series": "all entries are restarted, one after the other",
}
KINDS: Mapping[str, Kind] = {
    **{
        name: Kind(description, _make_faults, is_usual=True)
        for name, description in FAULT_DESCRIPTIONS.items()
    },
    # fmt: off
    "notices": Kind("runners ask for a backoff or announce their shutdown",
        _simple(NoticeFaults, "notices"), is_usual=True),
    "rates": Kind("runners announce rate limits", _simple(RateFaults, "rates"), is_usual=True),
    "refusals": Kind("phases in which all runners refuse",
        _simple(RefusalFaults, "refusals"), is_usual=True),
    "shortage": Kind("phases in which all runners report that they are full",
        _simple(ShortageFaults, "shortage"), is_usual=True),
    "deadly": Kind("requests that crash their runners",
        _simple(CrashFaults, "deadly"), call_group=CallGroup.CRASH, is_usual=True),
    "parts": Kind("different requests that share a part which crashes their runners",
        _simple(PartCrashFaults, "parts"), call_group=CallGroup.CRASH),
    "partitions": Kind("entries that are cut off from runners",
        _simple(PartitionFaults, "partitions"), SEVERAL_ENTRIES),
    "answer-ends": Kind("answers without a length of runners that are full and restart",
        _simple(AnswerEndFaults, "answer ends"), Needs(plain_slots=PLAIN_SLOTS)),
    "silence": Kind("open connections that go silent for good while runners leave",
        _simple(SilenceFaults, "silence"), Needs(revocation_seconds=LONG_REVOCATION_SECONDS)),
    "pairs": Kind("two entries of a domain in trouble at once beside changes and leaving runners",
        _simple(PairFaults, "pairs"), Needs(0, LONG_REVOCATION_SECONDS, True, 5),
        CallGroup.COMMON),
    "planned": Kind("changes, stops and reloads in series beside silent runners",
        _make_planned, SECOND_SERVICE_NEEDS),
    "unending": Kind("answers and bodies without an end", _make_unending),
    "unending-answers": Kind("answers without an end", _make_unending),
    "silent-runners": Kind("sound runners that fall silent for about a second",
        _simple(SilentRunnerFaults, "silent runners")),
    "departures": Kind("callers that leave in the middle of long requests",
        _simple(DepartureFaults, "departures")),
    "changes": Kind("changes under the callers that they concern, in storms between calm times",
        _simple(ChangeFaults, "changes"), SECOND_SERVICE_NEEDS, CallGroup.COMMON),
    "early-answers": Kind("long bodies at runners that answer before they have read them",
        _simple(EarlyFaults, "early answers")),
    "wave": Kind("most new connections go to one entry, each of which has a part of a processor",
        _make_waves, SEVERAL_ENTRIES),
    "kept-wave": Kind("such waves, in which some callers keep their connections",
        _make_waves, SEVERAL_ENTRIES),
    # fmt: on
}


def played_names(names: Iterable[str]) -> list[str]:
    """Return the names of the kinds that are played, in the order of the table."""
    chosen = set(names)
    return [
        name for name, kind in KINDS.items() if name in chosen or (not chosen and kind.is_usual)
    ]


def needs_of(names: Iterable[str]) -> Needs:
    """Return what the kinds need together."""
    needs = [KINDS[name].needs for name in played_names(names)]
    return Needs(
        max(each.plain_slots for each in needs),
        max(each.revocation_seconds for each in needs),
        any(each.has_second_service for each in needs),
        max(each.min_entries for each in needs),
    )


def find_conflict(names: Sequence[str], entry_count: int) -> str:
    """Return why the kinds can't be played together at a site, or an empty text."""
    needy = [name for name in names if KINDS[name].needs.min_entries > entry_count]
    if needy:
        least = needs_of(needy).min_entries
        return f"{' and '.join(needy)}: compares entries; take --entries {least} or more"
    return ""


def calls_of(troubles: Iterable[tuple[str, Trouble]], *groups: CallGroup) -> list[Call]:
    """Return the calls that trouble of some groups has sent itself."""
    return [
        call
        for name, trouble in troubles
        if KINDS[name].call_group in groups
        for call in trouble.calls
    ]
