"""How old the proof is that a host's configuration is the newest.

An acknowledged configuration is committed, not yet in force on every host. A host that
has lost the leader can miss one, so it may deny a request as unknown only while a
leader has confirmed its configuration recently.

What is confirmed is the version of the configuration and not the log index: other
records are committed all the time, and a host that has applied a configuration that it
cannot read obeys an older one.
"""

import math

# A confirmation of this age is the newest one that a host in contact can expect: hosts
# call the leader every 0.4 s.
FRESH_S = 0.6
# The version before the first configuration.
NO_VERSION = -1


class Confirmations:
    """The configuration in force, and the leader's last confirmation of it."""

    __slots__ = (
        "version_in_force",
        "confirmed_s",
        "leader_id",
        "_stated",
    )

    def __init__(self) -> None:
        self.version_in_force = NO_VERSION
        # A time on the boot clock at which no version later than the one in force had
        # been acknowledged, and the leader that confirmed this.
        self.confirmed_s = -math.inf
        self.leader_id = ""
        # A statement that names a later version than the one in force.
        self._stated: tuple[int, str, float] | None = None

    def note(self, version: int, leader_id: str, asked_s: float) -> None:
        """Record which version was the newest, as a leader states under its lease.

        ``asked_s`` is the time of the request. The reply may have been read much later,
        and says nothing about the time since.
        """
        if version > self.version_in_force:
            self._stated = version, leader_id, asked_s
        elif asked_s > self.confirmed_s:
            self.confirmed_s, self.leader_id = asked_s, leader_id

    def note_in_force(self, version: int) -> None:
        """Record that a version has come in force on this host."""
        self.version_in_force = version
        if self._stated is not None and self._stated[0] <= version:
            stated, self._stated = self._stated, None
            self.note(*stated)

    def age_s(self, now_s: float) -> float:
        """Return the age of the newest confirmation; infinite if there is none."""
        return now_s - self.confirmed_s

    def is_fresh(self, now_s: float, apply_s: float) -> bool:
        """Return whether a request may be denied without asking the leader."""
        return self.age_s(now_s) <= min(FRESH_S, apply_s)

    def may_deny(self, now_s: float, apply_s: float) -> bool:
        """Return whether a request that the configuration does not allow may be denied.

        A configuration that allows it has been acknowledged less than ``apply_s`` ago,
        if at all, so it need not be in force yet.
        """
        return self.age_s(now_s) <= apply_s
