"""Simulation of crashing requests among harmless ones on servers with several slots.

One tracker stands for the knowledge of all hosts. Two callers repeat each crashing
request unchanged, 0.4 s after an answer, while harmless requests keep the servers busy;
some harmless requests are sent by many callers, and some connections break by
themselves.
"""

import heapq
import itertools
import random

from damaskvalve_gateway._crashes import ENDED, OUTLIVED, UNKNOWN, CrashTracker

SERVERS = 6
RESTART_S = 2.0
# Time until an announcement shows that a server has outlived a broken connection.
ANNOUNCEMENT_DELAY_S = 1.2
RUN_S = 0.5
CRASH_AFTER_S = 0.1
REPEAT_S = 0.4
CALLERS = 2
# Fraction of the slots that harmless requests occupy.
LOAD = 0.6
# Requests that several callers send unchanged, and their fraction of the load.
POPULAR, POPULAR_FRACTION = 3, 0.2
BREAK_FRACTION = 0.005
# Most runs of a harmless request, including retries by its caller and by the hosts.
MAX_RUNS = 4
RETRY_S = 0.2
SETTLE_S = 0.4
DURATION_S = 40.0


class CountingRule:
    """Refuses after three broken runs on different servers within 90 s."""

    def __init__(self):
        self.runs_by_fingerprint = {}

    def note_run(self, fingerprint, incarnation, at_s):
        self.runs_by_fingerprint.setdefault(fingerprint, {})[incarnation] = at_s

    def note_served(self, fingerprint, at_s):
        pass

    def settle(self, status_of, now_s):
        for incarnations in self.runs_by_fingerprint.values():
            for incarnation in [
                key for key, at_s in incarnations.items() if now_s - at_s > 90.0
            ]:
                del incarnations[incarnation]

    def is_refused(self, fingerprint):
        return len(self.runs_by_fingerprint.get(fingerprint, ())) >= 3


class Server:
    def __init__(self, number):
        self.number = number
        self.generation = 0
        self.up_at_s = 0.0
        self.running = {}

    def incarnation(self):
        return f"i-{self.number}", self.generation


class Outcome:
    """Servers crashed by each crashing request, and refusals of harmless ones."""

    def __init__(self):
        # Number of servers crashed, by fingerprint.
        self.ended = {}
        # Number of crashing requests that are refused at the end.
        self.crashing_refused = 0
        # Number of sends of harmless requests, number of refused ones among them, and
        # the fingerprints of the refused ones.
        self.sends = 0
        self.refused_sends = 0
        self.refused = set()


def simulate(tracker, slots, crashing, seed):
    """Return the outcome of one simulation; the tracker decides what is refused."""
    rng = random.Random(seed)
    outcome = Outcome()
    servers = [Server(number) for number in range(SERVERS)]
    ended_at_s = {}
    numbers = itertools.count()
    events = []

    def schedule(at_s, action, *arguments):
        heapq.heappush(events, (at_s, next(numbers), action, arguments))

    def status_of(incarnation, at_s):
        if incarnation in ended_at_s:
            return ENDED if now_s > ended_at_s[incarnation] + RESTART_S else UNKNOWN
        return OUTLIVED if now_s > at_s + ANNOUNCEMENT_DELAY_S else UNKNOWN

    def send(fingerprint, runs):
        harmless = not fingerprint.startswith("crashing")
        if tracker.is_refused(fingerprint):
            outcome.refused_sends += harmless
            outcome.refused |= {fingerprint} if harmless else set()
            repeat(fingerprint, MAX_RUNS)
            return
        free = [
            item
            for item in servers
            if now_s >= item.up_at_s and len(item.running) < slots
        ]
        if not free:
            schedule(now_s + RETRY_S, send, fingerprint, runs)
            return
        server, run = rng.choice(free), next(numbers)
        server.running[run] = fingerprint, runs
        if harmless:
            duration_s = rng.expovariate(1 / RUN_S)
            action = break_connection if rng.random() < BREAK_FRACTION else end_run
            schedule(now_s + duration_s, action, server, server.generation, run)
        else:
            schedule(
                now_s + CRASH_AFTER_S, crash_server, server, server.generation, run
            )

    def repeat(fingerprint, runs):
        if fingerprint.startswith("crashing"):
            schedule(now_s + REPEAT_S, send, fingerprint, 1)
        elif runs < MAX_RUNS:
            outcome.sends += 1
            schedule(now_s + RETRY_S, send, fingerprint, runs + 1)

    def end_run(server, generation, run):
        if server.generation == generation:
            fingerprint, _ = server.running.pop(run)
            tracker.note_served(fingerprint, now_s)

    def break_connection(server, generation, run):
        if server.generation == generation:
            fingerprint, runs = server.running.pop(run)
            tracker.note_run(fingerprint, server.incarnation(), now_s)
            repeat(fingerprint, runs)

    def crash_server(server, generation, run):
        if server.generation != generation:
            return
        crashing_fingerprint, _ = server.running[run]
        outcome.ended[crashing_fingerprint] = (
            outcome.ended.get(crashing_fingerprint, 0) + 1
        )
        ended_at_s[server.incarnation()] = now_s
        for fingerprint, runs in server.running.values():
            tracker.note_run(fingerprint, server.incarnation(), now_s)
            repeat(fingerprint, runs)
        server.running.clear()
        server.generation += 1
        server.up_at_s = now_s + RESTART_S

    def arrive_harmless():
        rate = LOAD * SERVERS * slots / RUN_S
        schedule(now_s + rng.expovariate(rate), arrive_harmless)
        popular = rng.random() < POPULAR_FRACTION
        outcome.sends += 1
        name = rng.randrange(POPULAR) if popular else f"u{next(numbers)}"
        send(f"harmless-{name}", 1)

    def settle():
        schedule(now_s + SETTLE_S, settle)
        tracker.settle(status_of, now_s)

    now_s = 0.0
    arrive_harmless()
    settle()
    for number in range(crashing):
        for _ in range(CALLERS):
            at_s = rng.uniform(1.0, DURATION_S / 2)
            schedule(at_s, send, f"crashing-{number}", 1)
    while events and now_s < DURATION_S:
        now_s, _, action, arguments = heapq.heappop(events)
        action(*arguments)
    fingerprints = [f"crashing-{number}" for number in range(crashing)]
    outcome.crashing_refused = sum(
        tracker.is_refused(fingerprint) for fingerprint in fingerprints
    )
    return outcome


def simulate_crash_tracker(slots, crashing, seed):
    """Run the simulation with the gateway's own tracker."""
    return simulate(CrashTracker(), slots, crashing, seed)
