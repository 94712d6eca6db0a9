"""What the orders of engines and of plain backend servers have in common."""

import xxhash

from damaskvalve_gateway._backend import MAX_FAILURE_SHARE, Backend


def score(name: str, instance_id: str) -> int:
    """Return the rendezvous hash of a name at an instance or address."""
    number: int = xxhash.xxh64_intdigest(f"{name}|{instance_id}".encode())
    return number


def is_failing(backend: Backend, now_s: float) -> bool:
    """Return whether a backend server is tried after all others."""
    return now_s < backend.paused_until_s or backend.failure_share > MAX_FAILURE_SHARE
