"""The order in which backend servers are tried for a request."""

from collections.abc import Sequence

import xxhash

from damaskvalve_gateway._backend import MAX_FAILURE_SHARE, Backend


def _score(name: str, instance_id: str) -> int:
    number: int = xxhash.xxh64_intdigest(f"{name}|{instance_id}".encode())
    return number


def _is_failing(backend: Backend, now_s: float) -> bool:
    return now_s < backend.paused_until_s or backend.failure_share > MAX_FAILURE_SHARE


def order_engines(
    backends: Sequence[Backend], adapter: str, now_s: float
) -> Sequence[Backend]:
    """Return the engines to try for ``model/adapter``, the cheapest to use first.

    Engines with the adapter resident come first, then those that have a copy, because a
    load has to wait for the store. Among equals, rendezvous hashing over addresses
    decides, so that all hosts agree without communication and a lost engine moves only
    its own adapters. Failing engines come last.
    """
    return sorted(
        backends,
        key=lambda item: (
            _is_failing(item, now_s),
            item.residency(adapter, now_s),
            -_score(adapter, item.announcement.address),
        ),
    )


def order_plain(
    backends: Sequence[Backend], data_centre: str, request_id: str, now_s: float
) -> Sequence[Backend]:
    """Return plain backend servers: healthy, least busy, near, then spread by hash."""
    return sorted(
        backends,
        key=lambda item: (
            _is_failing(item, now_s),
            item.active,
            item.announcement.data_centre != data_centre,
            _score(request_id, item.announcement.instance_id),
        ),
    )
