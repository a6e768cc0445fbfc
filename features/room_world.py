"""A replay of a site whose load doubles within a second, placed by old reports."""

from collections import deque
from dataclasses import dataclass, field
from random import Random

from deckcourse.decisions.room_estimate import ReportedLoad

SLOTS = 48
FIRSTS = 12
# Requests a second before the jump; they take two thirds of the slots.
RATE = 96.0
STREAM_SECONDS = 4.0
TICK_SECONDS = 0.02
REPORT_TICKS = 20
REPORT_AGE_TICKS = 10
RELAY_SECONDS = 0.25
# Requests count from the jump on, for this long.
JUMP_AT = 3.0
END = 7.0


@dataclass
class RoomProcess:
    """What one process knows: the last report, its sends and its latest requests."""

    order: list
    at: float = 0.0
    loads: dict = field(default_factory=dict)
    requests: deque = field(default_factory=deque)

    def report(self, at, counts):
        self.loads = {name: ReportedLoad(count, SLOTS) for name, count in enumerate(counts)}
        self.at = at

    def note_sent(self, name):
        load = self.loads.get(name)
        if load is not None:
            self.loads[name] = ReportedLoad(load.requests, SLOTS, load.sent + 1)

    def own_rate(self, now):
        while self.requests and self.requests[0] < now - 2.0:
            self.requests.popleft()
        return len(self.requests) / 2.0


def replay_jump(processes, unseen, fill, seed):
    """Return the shares of requests that were refused, and that found an upstream full.

    Args:
      processes: their number.
      unseen: returns the unreported requests at each upstream for a process, the time and a draw.
      fill: the share of slots by the estimate from which an upstream counts as full.
      seed: the seed of all draws.
    """
    random = Random(seed)
    running = [
        [random.expovariate(1 / STREAM_SECONDS) for _ in range(int(RATE * STREAM_SECONDS / FIRSTS))]
        for _ in range(FIRSTS)
    ]
    sites = [RoomProcess(random.sample(range(FIRSTS), FIRSTS)) for _ in range(processes)]
    history, relayed = deque(maxlen=REPORT_AGE_TICKS + 1), []
    total = refused = full = 0
    for tick in range(1, round(END / TICK_SECONDS)):
        now = tick * TICK_SECONDS
        running = [[end for end in each if end > now] for each in running]
        history.append((now, [len(each) for each in running]))
        if tick % REPORT_TICKS == 0:
            relayed += [
                (now + RELAY_SECONDS * random.random(), each, *history[0]) for each in sites
            ]
        for _, process, at, counts in [each for each in relayed if each[0] <= now]:
            process.report(at, counts)
        relayed = [each for each in relayed if each[0] > now]
        rate = RATE * (1.0 + min(1.0, max(0.0, now - JUMP_AT)))
        for _ in range(int(rate * TICK_SECONDS + random.random())):
            process = random.choice(sites)
            process.requests.append(now)
            extra = unseen(process, now, random.random()) if process.loads else {}
            load = {
                name: process.loads[name].requests + each if process.loads else 0.0
                for name, each in extra.items()
            } or dict.fromkeys(range(FIRSTS), 0.0)
            usable = [name for name in process.order if load[name] < fill * SLOTS][:3]
            counts = now >= JUMP_AT
            total += counts
            if not usable:
                refused += counts
                continue
            chosen = min(random.sample(usable, min(2, len(usable))), key=load.get)
            process.note_sent(chosen)
            if len(running[chosen]) >= SLOTS:
                full += counts
            else:
                running[chosen].append(now + random.expovariate(1 / STREAM_SECONDS))
    return refused / total, full / total
