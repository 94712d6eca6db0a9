"""Decides which parts of prompts crash backend servers.

A crash breaks all requests that were running on its backend server, so the parts of
sound requests are counted beside a crashing one. Only crashes after the last success
with a part are evidence. The fewest parts that explain the crashes are blamed: parts
that have never proved sound go first, and among them those whose requests nearly all
broke with a crash of their own.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence

from damaskvalve_gateway._incarnations import Incarnation

# A part is refused after this many crashes that no other part explains, and replicated
# to all hosts as a suspect after PART_SUSPECTED_AT. Fewer may be accidents.
PART_REFUSED_AT = 3
PART_SUSPECTED_AT = 2
# The lowest limit for a part that has proved sound before: it crashes backend servers
# only if these have changed since.
PART_REFUSED_AT_IF_SOUND = 5
# The same limit for parts with more broken requests for each crash than in the first
# column. They may be parts that all requests share, while others crash the servers.
COMMON_PART_LIMITS = ((4.0, 8), (4 / 3, 5))
# Crashes within this time have one cause, as when a rack fails, and count as one.
SAME_CAUSE_S = 0.25
# A part that broke runs of one request only is left to the quarantine of that request.
MIN_REQUESTS = 2


# A blamed part explains crashes of another part if it was there in this share of them.
MIN_EXPLAINED_SHARE = 0.4


class PartEvidence:
    """The counted runs with one part that broke."""

    __slots__ = ("crashes", "requests", "more_requests", "was_sound")

    def __init__(
        self,
        crashes: Mapping[Incarnation, float],
        requests: Collection[str],
        more_requests: int = 0,
        *,
        was_sound: bool = False,
    ) -> None:
        # Time at which a run broke, by the incarnation that it ran on.
        self.crashes = crashes
        # Fingerprints of the requests whose runs broke.
        self.requests = frozenset(requests)
        # Number of further requests, of which no fingerprints were kept.
        self.more_requests = more_requests
        # Whether the part proved sound before these crashes.
        self.was_sound = was_sound

    def is_suspect(self) -> bool:
        """Return whether the part may be to blame for several crashes."""
        return (
            len(self.requests) >= MIN_REQUESTS
            and count_causes(self.crashes.values()) >= PART_SUSPECTED_AT
        )

    def request_count(self) -> int:
        """Return the number of requests whose runs broke."""
        return len(self.requests) + self.more_requests

    def limit(self) -> int:
        """Return the number of crashes from which on the part is refused."""
        lowest = PART_REFUSED_AT_IF_SOUND if self.was_sound else PART_REFUSED_AT
        requests_per_crash = self.request_count() / len(self.crashes)
        for ratio, limit in COMMON_PART_LIMITS:
            if requests_per_crash > ratio:
                return max(lowest, limit)
        return lowest


def count_causes(times_s: Iterable[float]) -> int:
    """Return the number of crashes, counting those within SAME_CAUSE_S as one."""
    count, last_s = 0, float("-inf")
    for at_s in sorted(times_s):
        if at_s - last_s > SAME_CAUSE_S:
            count, last_s = count + 1, at_s
    return count


def blamed_parts(
    evidence: Mapping[str, PartEvidence], known: Collection[Sequence[str]] = ()
) -> Sequence[tuple[str, ...]]:
    """Return the parts to refuse, as groups.

    The parts of a group have the same evidence: only requests that hold all of them are
    known to crash backend servers. Groups that are ``known`` to be refused explain
    their crashes before others do.
    """
    groups = _groups(evidence)
    known_groups = {tuple(parts) for parts in known}
    blamed = [parts for parts in groups if parts in known_groups]
    left = [parts for parts in groups if parts not in known_groups]
    while left:
        blamed_items = [evidence[parts[0]] for parts in blamed]
        best = max(left, key=lambda parts: _weight(evidence[parts[0]], blamed_items))
        left.remove(best)
        item = evidence[best[0]]
        if count_causes(_own_crashes(item, blamed_items)) >= item.limit():
            blamed.append(best)
    return blamed


def _groups(evidence: Mapping[str, PartEvidence]) -> Sequence[tuple[str, ...]]:
    """Return the suspected parts; those with the same evidence are one group."""
    groups: dict[tuple[frozenset[Incarnation], frozenset[str], bool], list[str]] = {}
    for part, item in sorted(evidence.items()):
        if item.is_suspect():
            key = frozenset(item.crashes), item.requests, item.was_sound
            groups.setdefault(key, []).append(part)
    return [tuple(parts) for parts in groups.values()]


def _own_crashes(
    item: PartEvidence, blamed: Collection[PartEvidence]
) -> Sequence[float]:
    """Return the times of the crashes of a part that blamed parts do not explain.

    A part that was there in a small share of the crashes explains none of them.
    """
    explained = {
        incarnation
        for other in blamed
        if len(other.crashes) >= MIN_EXPLAINED_SHARE * len(item.crashes)
        for incarnation in other.crashes
    }
    return [
        at_s
        for incarnation, at_s in item.crashes.items()
        if incarnation not in explained
    ]


def _weight(item: PartEvidence, blamed: Collection[PartEvidence]) -> tuple[bool, float]:
    """Return how well a part explains the crashes that are left.

    Each request with a crashing part breaks with a crash of its own; many requests with
    a widely shared part break with one crash. A part that has never proved sound is a
    better explanation.
    """
    own_crashes = len(_own_crashes(item, blamed))
    return not item.was_sound, own_crashes**2 / item.request_count()
