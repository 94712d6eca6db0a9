"""Requests that end servers among sound ones, on servers that run several at once.

One book stands for what the whole fleet knows. The load that it replays: two callers
repeat each crashing request word for word, 0.4 s after an answer, while sound ones
keep the servers busy; some sound ones are sent by many callers, and some connections
break on their own.
"""

import heapq
import itertools
import random

from damaskvalve_gateway._crashes import ENDED, OUTLIVED, UNKNOWN, CrashTracker

SERVERS = 6
RESTART_S = 2.0
# Until an announcement shows that a server has outlived a broken connection.
ANNOUNCED_S = 1.2
RUN_S = 0.5
CRASH_AFTER_S = 0.1
REPEAT_S = 0.4
CALLERS = 2
# Of the places that sound requests keep taken.
LOAD = 0.6
# Requests that several callers send word for word, and their part of the load.
POPULAR, POPULAR_PART = 3, 0.2
BREAKS_PART = 0.005
# Runs that a sound request is given by its caller and the hosts together.
MOST_RUNS = 4
RETRY_S = 0.2
SETTLE_S = 0.4
LENGTH_S = 40.0


class CountingRule:
    """Three broken runs on different servers within 90 s, whatever else is known."""

    def __init__(self):
        self.seen = {}

    def note(self, fingerprint, start, at_s):
        self.seen.setdefault(fingerprint, {})[start] = at_s

    def note_served(self, fingerprint, at_s):
        pass

    def settle(self, fate_of, now_s):
        for starts in self.seen.values():
            for start in [key for key, at_s in starts.items() if now_s - at_s > 90.0]:
                del starts[start]

    def is_refused(self, fingerprint):
        return len(self.seen.get(fingerprint, ())) >= 3


class Server:
    def __init__(self, number):
        self.number = number
        self.generation = 0
        self.up_at_s = 0.0
        self.running = {}

    def start(self):
        return f"i-{self.number}", self.generation


class Outcome:
    """Both errors: servers ended by each crashing request, and sound ones refused."""

    def __init__(self):
        self.ended = {}
        # Crashing requests that are refused in the end.
        self.held_back = 0
        # Sends of sound requests, those refused, and how many requests these were.
        self.sends = 0
        self.refused_sends = 0
        self.refused = set()


def play(tracker, slots, crashing, seed):
    """Return the outcome of one play; the book decides who is sent."""
    rng = random.Random(seed)
    outcome = Outcome()
    servers = [Server(number) for number in range(SERVERS)]
    ended_at_s = {}
    order = itertools.count()
    events = []

    def later(at_s, what, *arguments):
        heapq.heappush(events, (at_s, next(order), what, arguments))

    def fate_of(start, at_s):
        if start in ended_at_s:
            return ENDED if now_s > ended_at_s[start] + RESTART_S else UNKNOWN
        return OUTLIVED if now_s > at_s + ANNOUNCED_S else UNKNOWN

    def send(fingerprint, runs):
        sound = not fingerprint.startswith("crashing")
        if tracker.is_refused(fingerprint):
            outcome.refused_sends += sound
            outcome.refused |= {fingerprint} if sound else set()
            again(fingerprint, MOST_RUNS)
            return
        free = [
            item
            for item in servers
            if now_s >= item.up_at_s and len(item.running) < slots
        ]
        if not free:
            later(now_s + RETRY_S, send, fingerprint, runs)
            return
        server, run = rng.choice(free), next(order)
        server.running[run] = fingerprint, runs
        if sound:
            length_s = rng.expovariate(1 / RUN_S)
            what = break_off if rng.random() < BREAKS_PART else end
            later(now_s + length_s, what, server, server.generation, run)
        else:
            later(now_s + CRASH_AFTER_S, crash, server, server.generation, run)

    def again(fingerprint, runs):
        if fingerprint.startswith("crashing"):
            later(now_s + REPEAT_S, send, fingerprint, 1)
        elif runs < MOST_RUNS:
            outcome.sends += 1
            later(now_s + RETRY_S, send, fingerprint, runs + 1)

    def end(server, generation, run):
        if server.generation == generation:
            fingerprint, _ = server.running.pop(run)
            tracker.note_served(fingerprint, now_s)

    def break_off(server, generation, run):
        if server.generation == generation:
            fingerprint, runs = server.running.pop(run)
            tracker.note(fingerprint, server.start(), now_s)
            again(fingerprint, runs)

    def crash(server, generation, run):
        if server.generation != generation:
            return
        by, _ = server.running[run]
        outcome.ended[by] = outcome.ended.get(by, 0) + 1
        ended_at_s[server.start()] = now_s
        for fingerprint, runs in server.running.values():
            tracker.note(fingerprint, server.start(), now_s)
            again(fingerprint, runs)
        server.running.clear()
        server.generation += 1
        server.up_at_s = now_s + RESTART_S

    def arrive():
        rate = LOAD * SERVERS * slots / RUN_S
        later(now_s + rng.expovariate(rate), arrive)
        popular = rng.random() < POPULAR_PART
        outcome.sends += 1
        name = rng.randrange(POPULAR) if popular else f"u{next(order)}"
        send(f"sound-{name}", 1)

    def settle():
        later(now_s + SETTLE_S, settle)
        tracker.settle(fate_of, now_s)

    now_s = 0.0
    arrive()
    settle()
    for number in range(crashing):
        for _ in range(CALLERS):
            at_s = rng.uniform(1.0, LENGTH_S / 2)
            later(at_s, send, f"crashing-{number}", 1)
    while events and now_s < LENGTH_S:
        now_s, _, what, arguments = heapq.heappop(events)
        what(*arguments)
    fingerprints = [f"crashing-{number}" for number in range(crashing)]
    outcome.held_back = sum(
        tracker.is_refused(fingerprint) for fingerprint in fingerprints
    )
    return outcome


def play_book(slots, crashing, seed):
    """Play with the book of the product."""
    return play(CrashTracker(), slots, crashing, seed)
