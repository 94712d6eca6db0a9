"""Requests that crash the backend servers that run them.

Such a request comes again under another id, so it is known by workspace, path and
body. Each broken run counts against it, at most once for each instance; what other
hosts have seen arrives through the leader.
"""

import collections
import hashlib
from collections.abc import Iterator

# A run that breaks may be an accident of the connection; so many broken runs on
# different instances are not.
REFUSED_AT = 3
# Long enough for a caller's repeats, short enough that an innocent is forgiven.
REMEMBER_S = 90.0
MAX_FINGERPRINTS = 4_000
# How long until a refused one may be tried again.
COME_BACK_S = 30.0


def fingerprint(workspace: str, path: str, body: bytes) -> str:
    """Return what identifies a request that is sent again under another id."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (workspace.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class CrashBook:
    """Counts broken runs by fingerprint."""

    def __init__(self) -> None:
        self._seen: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )

    def note(self, mark: str, instance_id: str, at_s: float) -> bool:
        """Count a broken run; False if it was counted before."""
        instances = self._seen.setdefault(mark, {})
        self._seen.move_to_end(mark)
        if len(self._seen) > MAX_FINGERPRINTS:
            self._seen.popitem(last=False)
        if instance_id in instances:
            return False
        instances[instance_id] = at_s
        return True

    def is_refused(self, mark: str, now_s: float) -> bool:
        """Return whether a request has broken too many runs of late."""
        instances = self._seen.get(mark)
        if not instances:
            return False
        recent = sum(now_s - at_s < REMEMBER_S for at_s in instances.values())
        return recent >= REFUSED_AT

    def recent(self, now_s: float) -> Iterator[tuple[str, str, float]]:
        """Yield the fingerprint, the instance and the time of each counted run."""
        for mark, instances in self._seen.items():
            for instance_id, at_s in instances.items():
                if now_s - at_s < REMEMBER_S:
                    yield mark, instance_id, at_s
