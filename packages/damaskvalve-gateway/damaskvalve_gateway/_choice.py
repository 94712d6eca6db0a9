"""Which backend servers to ask for a request, in order."""

from collections.abc import Sequence

import xxhash

from damaskvalve_gateway._backends import BAD_SHARE, Backend


def _score(name: str, instance_id: str) -> int:
    number: int = xxhash.xxh64_intdigest(f"{name}|{instance_id}".encode())
    return number


def _is_suspect(backend: Backend, now_s: float) -> bool:
    return now_s < backend.paused_until_s or backend.bad_share > BAD_SHARE


def order_engines(
    backends: Sequence[Backend], adapter: str, now_s: float
) -> Sequence[Backend]:
    """Return the engines to ask for ``model/adapter``, the nearest to it first.

    Engines that hold it go first, then those that have a copy, because a load takes
    its turn at the store. Rendezvous hashing over addresses decides
    among equals, so that all hosts agree without talking and a lost engine moves only
    its own adapters. Engines that fail come last.
    """
    return sorted(
        backends,
        key=lambda item: (
            _is_suspect(item, now_s),
            item.distance(adapter, now_s),
            -_score(adapter, item.announcement.address),
        ),
    )


def order_plain(
    backends: Sequence[Backend], data_centre: str, request_id: str, now_s: float
) -> Sequence[Backend]:
    """Return plain backend servers: sound, least busy, near, then spread by id."""
    return sorted(
        backends,
        key=lambda item: (
            _is_suspect(item, now_s),
            item.active,
            item.announcement.data_centre != data_centre,
            _score(request_id, item.announcement.instance_id),
        ),
    )
