"""Quarantine of requests whose prompts hold parts that crash backend servers."""

from collections.abc import Iterator, Sequence

from damaskvalve_core import RefusedError
from damaskvalve_gateway._cluster_view import ClusterView
from damaskvalve_gateway._crashes import parts_key, parts_of_key
from damaskvalve_gateway._quarantine import (
    MIN_QUARANTINE_RETRY_S,
    QUARANTINE_S,
    UNPROVED_REFUSAL_S,
)

# A host that has had no contact with the leader for this long decides by the runs that
# it has seen itself.
LEADER_CONTACT_TIMEOUT_S = 2.5


def check_parts(
    view: ClusterView, parts: Sequence[str], now_s: float, *, before_send: bool = False
) -> None:
    """Raise :class:`RefusedError` if parts of a prompt crash backend servers.

    A trial is used up by the check right ``before_send``.
    """
    for blamed, wait_s in _refused_groups(view, parts, now_s):
        if set(blamed) <= set(parts):
            if parts_key(blamed) in view.trial_parts:
                if before_send:
                    view.trial_parts.discard(parts_key(blamed))
                continue
            names = " and ".join(blamed)
            raise RefusedError(
                503,
                "crashing_prompt_part",
                f"backend servers crashed on requests with prompt part {names}",
                retry_after_s=max(MIN_QUARANTINE_RETRY_S, wait_s),
            )


def _refused_groups(
    view: ClusterView, parts: Sequence[str], now_s: float
) -> Iterator[tuple[Sequence[str], float]]:
    """Yield the groups of refused parts that may concern a prompt, and the wait."""
    for part in parts:
        for key in view.suspect_keys_of(part):
            status = view.suspect_statuses[key]
            if status.is_refused(now_s):
                # Unlike that of a request, a quarantine of parts does not end by time.
                proved = status.record.quarantined
                yield parts_of_key(key), (
                    QUARANTINE_S if proved else status.left_s(now_s)
                )
    if parts and now_s - view.leader_contact_s > LEADER_CONTACT_TIMEOUT_S:
        for group in view.crashes.blamed_parts(only_ended=False):
            yield group, UNPROVED_REFUSAL_S
