"""Keeps a host from denying requests by a configuration that may not be the newest."""

import asyncio
import math
from collections.abc import Mapping
from typing import Any

from damaskvalve_core import DecisionLog, RefusedError, RetryLaterError, boot_clock_s
from damaskvalve_gateway._cluster_view import ClusterView
from damaskvalve_gateway._state_client import StateClient

#: The codes of the refusals that a newer configuration might turn into answers.
NO_ROUTE = "no_route"
UNKNOWN_KEY = "unknown_key"
DENIALS = frozenset((NO_ROUTE, UNKNOWN_KEY))
#: The code of the refusal in place of one of these.
UNCONFIRMED = "configuration_unconfirmed"
# The leader is asked at most once in this time, however many requests wait: anyone can
# send requests with unknown routes. This is the period of the exchange with the leader,
# so its calls at most double.
ASK_INTERVAL_S = 0.4
# A request waits at most this long for the leader's reply, and at most this part of its
# time.
MAX_WAIT_S = 0.4
MAX_WAIT_PART = 0.5
# The exchange with the leader is tried again more often than this.
RETRY_AFTER_S = 0.5
# Interval between checks whether the confirmation has become too old.
CHECK_INTERVAL_S = 0.25


class ConfirmationController:
    """Asks the leader for confirmations and logs when they are missing."""

    def __init__(
        self,
        state_client: StateClient,
        view: ClusterView,
        apply_s: float,
        log: DecisionLog,
    ) -> None:
        self._state_client = state_client
        self._view = view
        # The time within which a configuration has to be in force.
        self._apply_s = apply_s
        self._log = log
        self._asking: asyncio.Task[None] | None = None
        self._asked_s = -math.inf
        # Why the leader did not confirm the configuration when it was last asked.
        self._failure = ""
        # Whether the last logged state is that of a confirmed configuration; None
        # before the first.
        self._is_confirmed: bool | None = None
        self._changed_s = boot_clock_s()

    # ---- requests ----

    def is_fresh(self) -> bool:
        """Return whether a request may be denied at once."""
        return self._view.confirmations.is_fresh(boot_clock_s(), self._apply_s)

    async def confirm(self, deadline_s: float | None) -> None:
        """Ask the leader whether the configuration in force is the newest.

        Raise :class:`RefusedError` if a request must not be denied by it. The caller
        has ``deadline_s`` left.
        """
        wait_s = MAX_WAIT_S
        if deadline_s is not None:
            wait_s = min(wait_s, deadline_s * MAX_WAIT_PART)
        await self._ask(wait_s)
        now_s = boot_clock_s()
        confirmations = self._view.confirmations
        if confirmations.may_deny(now_s, self._apply_s):
            return
        age_s = confirmations.age_s(now_s)
        since = (
            f"for {age_s:.1f} s" if math.isfinite(age_s) else "since this host started"
        )
        raise RefusedError(
            503,
            UNCONFIRMED,
            f"no leader has confirmed {since} that the configuration of this host is "
            "the newest, so it cannot know whether the request is allowed",
            retry_after_s=RETRY_AFTER_S,
        )

    async def _ask(self, wait_s: float) -> None:
        """Ask the leader, or wait for the reply to a call that is under way."""
        now_s = boot_clock_s()
        if self._asking is None or self._asking.done():
            if now_s - self._asked_s < ASK_INTERVAL_S:
                return
            self._asked_s = now_s
            self._asking = asyncio.ensure_future(self._catch_up())
        await asyncio.wait((self._asking,), timeout=wait_s)
        if self._asking.done():
            self._asking.result()

    async def _catch_up(self) -> None:
        self._failure = "the leader has not replied yet"
        try:
            await self._state_client.catch_up()
            self._failure = ""
        except RetryLaterError as error:
            # It is logged with the requests that are refused.
            self._failure = str(error)

    def log_fields(self) -> Mapping[str, Any]:
        """Return what to log with a request that was denied or refused instead."""
        confirmations = self._view.confirmations
        return {
            "configuration_version": confirmations.version_in_force,
            "configuration_age_s": self._rounded_age_s(boot_clock_s()),
            "confirmed_by": confirmations.leader_id,
            "unconfirmed_because": self._failure,
        }

    # ---- state of the host ----

    async def run(self) -> None:
        """Log when the confirmation becomes too old, and when there is one again."""
        while True:
            self.log_change(boot_clock_s())
            await asyncio.sleep(CHECK_INTERVAL_S)

    def log_change(self, now_s: float) -> None:
        """Log a change since the last call."""
        confirmations = self._view.confirmations
        is_confirmed = confirmations.may_deny(now_s, self._apply_s)
        if is_confirmed == self._is_confirmed:
            return
        if self._is_confirmed is None and not is_confirmed:
            # A host that has just started asks for its first confirmation.
            if now_s - self._changed_s <= self._apply_s:
                return
        if is_confirmed:
            self._log.line(
                "configuration_confirmed",
                version=confirmations.version_in_force,
                leader=confirmations.leader_id,
                after_s=round(now_s - self._changed_s, 2),
            )
        else:
            self._log.line(
                "configuration_unconfirmed",
                version=confirmations.version_in_force,
                age_s=self._rounded_age_s(now_s),
                confirmed_by=confirmations.leader_id,
                knows_leader=bool(self._state_client.leader_address()),
            )
        self._is_confirmed = is_confirmed
        self._changed_s = now_s

    def _rounded_age_s(self, now_s: float) -> float | str:
        """Return the age to log; empty if there has been no confirmation."""
        age_s = self._view.confirmations.age_s(now_s)
        return round(age_s, 2) if math.isfinite(age_s) else ""
