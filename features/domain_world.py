"""A replay of requests that processes of several failure domains place by old reports."""

from collections import defaultdict, deque, namedtuple
from random import Random

from deckcourse.decisions.domain_choice import RouteLimits
from deckcourse.gateway.path_choice import PathChoice
from deckcourse.gateway.traffic_share import TrafficShare
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.layers.model import AcceleratorKind, ModelSpec
from deckcourse.peers.loads import LoadBoard, LoadRow

SLOTS = 30
STREAM_SECONDS = 3.0
TICK_SECONDS = 0.02
# Reports are made every 0.4 s, are 0.2 s old and reach the processes 0.1 s later.
REPORT_TICKS = 20
REPORT_AGE_TICKS = 10
RELAY_TICKS = 5
MODEL = ModelSpec(
    "m",
    8,
    1000.0,
    step_ms=20.0,
    stream_step_ms=0.2,
    prefill_per_ms=20.0,
    requests=SLOTS,
    kinds={"k": AcceleratorKind("k", 24_000.0, 1.0, 1.0)},
    domain_delays={("x", "y"): 0.00075},
)
LIMITS = RouteLimits(0.5, 0.25)

Placed = namedtuple("Placed", "at home domain wait")


class Process:
    """One process: its own table of upstreams and path choice over shared reports."""

    def __init__(self, world, name, domain):
        self.domain = domain
        self.table = UpstreamTable(lambda: world.now)
        self.lines = []
        self.choice = PathChoice(
            "llm",
            name,
            domain,
            self.table,
            lambda: world.now,
            None,
            TrafficShare(lambda: world.now),
            world.board,
            lambda: False,
            Random(name),
            lambda: world.settings,
            lambda each: None,
            lambda decision, **fields: self.lines.append((world.now, decision)),
        )


class DomainWorld:
    """Two domains of some copies, each of two upstreams, and the streams on them."""

    def __init__(self, seed, processes, settings, copies=2):
        self.now = 10.0
        self.settings = settings
        self.random = Random(seed)
        self.board = LoadBoard(lambda: self.now)
        self.processes = [
            Process(self, f"{domain}{each}", domain) for domain in "xy" for each in range(processes)
        ]
        # The streams at each first upstream, by when they end, the process and the caller's domain.
        self.streams = defaultdict(list)
        self.history = deque(maxlen=REPORT_AGE_TICKS + RELAY_TICKS + 1)
        self.rates = {"x": 0.0, "y": 0.0}
        self.restarts = []
        self.requests = []
        self.ticks = 0
        for domain in "xy":
            for copy in range(copies):
                self.add_copy(domain, copy)

    def add_copy(self, domain, copy):
        for first, end, role in ((0, 4, "first"), (4, 8, "tail")):
            name = f"{domain}{copy}-{role}"
            row = Upstream(name, "llm", f"{name}:1", domain, False, SLOTS, "k", ("m",), first, end)
            for process in self.processes:
                process.table.put(row)

    def lose_copy(self, domain, copy):
        for role in ("first", "tail"):
            for process in self.processes:
                process.table.remove(f"{domain}{copy}-{role}")
        interrupted = self.streams.pop(f"{domain}{copy}-first", [])
        for _, process, home in interrupted:
            process.table.end_request(f"{domain}{copy}-first")
            self.restarts.append((self.now + 0.15 + 0.1 * self.random.random(), home))

    def run(self, seconds):
        for _ in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            self.ticks += 1
            for first, running in self.streams.items():
                for _, process, _ in [each for each in running if each[0] <= self.now]:
                    process.table.end_request(first)
                self.streams[first] = [each for each in running if each[0] > self.now]
            self.report()
            for domain, rate in self.rates.items():
                count = int(rate * TICK_SECONDS + self.random.random())
                for _ in range(count):
                    self.place(domain)
            due = [home for at, home in self.restarts if at <= self.now]
            self.restarts = [each for each in self.restarts if each[0] > self.now]
            for home in due:
                self.place(home)

    def report(self):
        self.history.append((self.now, {name: len(each) for name, each in self.streams.items()}))
        if self.ticks % REPORT_TICKS:
            return
        at, counts = self.history[0]
        for name in {each.instance for each in self.processes[0].table.of_service("llm")}:
            if name.endswith("first"):
                count = counts.get(name, 0)
                row = LoadRow(name, min(count, SLOTS), max(0, count - SLOTS), 0.1, at)
                self.board.record(row)
        for process in self.processes:
            process.choice.load_watch._record_share()

    def place(self, home):
        process = self.random.choice([each for each in self.processes if each.domain == home])
        process.choice.load_watch._unseen.note_request()
        path = process.choice.choose(MODEL, frozenset(), LIMITS)
        first = path.stages[0].instance
        running = self.streams[first]
        # A request that finds all slots taken starts when enough of the others have ended.
        ahead = sorted(each[0] for each in running)[: len(running) - SLOTS + 1]
        wait = ahead[-1] - self.now if len(running) >= SLOTS else 0.0
        running.append((self.now + wait + STREAM_SECONDS, process, home))
        process.choice.load_watch.note_sent(first)
        process.table.begin_request(first)
        self.requests.append(Placed(self.now, home, path.domain, wait))

    def placed(self, home, since, seconds):
        """Return the requests of a domain's callers in some seconds."""
        until = since + seconds
        return [each for each in self.requests if each.home == home and since <= each.at <= until]
