"""The mechanisms that keep the request limits of backend servers."""

import contextlib
from collections.abc import Iterator, Sequence
from typing import Any
from unittest import mock

from damaskvalve_core.messages import SendGrant, SendGrantsReply
from damaskvalve_gateway import (
    _backend,
    _backends,
    _grant_ledger,
    _grant_store,
    _leader_service,
    _overload,
    _send_gate,
    _sync,
)
from damaskvalve_gateway._grant_ledger import GrantClaim, GrantLedger
from damaskvalve_gateway._grant_replies import GrantReplies
from damaskvalve_gateway._grant_store import GrantStore
from damaskvalve_gateway._leader_clock import LeaderClock
from damaskvalve_gateway._sync import SyncController
from damaskvalve_standins._proof import Proof, replace

_TESTS = "damaskvalve_gateway.tests"
_LEDGER = f"{_TESTS}.test_grant_ledger"
_GATE = f"{_TESTS}.test_send_gate"
_SIMULATED = f"{_TESTS}.test_request_limits.RequestLimitTests"
_NOTICES = f"{_TESTS}.test_sync.LimitNoticeTests"
_OVERLOAD = f"{_TESTS}.test_overload.LimitTests"


async def _grant_by_own_ledger(
    self: Any, asks: Sequence[Any], returned: Sequence[Any]
) -> SendGrantsReply:
    """Grant as if each host kept the limit alone."""
    now_s = _sync.boot_clock_s()
    if not hasattr(self, "own_ledger"):
        self.own_ledger = GrantLedger(now_s)
    grants = []
    for ask in asks:
        claim = GrantClaim(self._address, ask.priority, ask.workspace, ask.wanted)
        incarnation = ask.instance_id, ask.started_at_ms
        limit_per_s = ask.limit.limit_per_s
        grants.append(
            SendGrant(*self.own_ledger.take(incarnation, limit_per_s, claim, now_s))
        )
    return SendGrantsReply("L", grants, now_s)


@contextlib.contextmanager
def _full_buckets() -> Iterator[None]:
    original = _grant_ledger._Bucket.__init__

    def start(self: Any, now_s: float) -> None:
        original(self, now_s)
        self.level = 1e9

    with mock.patch.object(_grant_ledger._Bucket, "__init__", start):
        yield


@contextlib.contextmanager
def _lost_replies_forgotten() -> Iterator[None]:
    original = GrantReplies.begin

    def begin(self: Any, *arguments: Any) -> Any:
        return None if original(self, *arguments) is None else {}

    with mock.patch.object(GrantReplies, "begin", begin):
        yield


@contextlib.contextmanager
def _limits_not_told() -> Iterator[None]:
    with (
        mock.patch.object(_sync, "apply_limit_notice", lambda *_: None),
        mock.patch.object(_leader_service, "apply_limit_notice", lambda *_: None),
    ):
        yield


LIMIT_PROOFS = (
    Proof(
        "a limited backend server is sent nothing without a grant",
        replace(_send_gate.SendGrant, "spend", lambda self, now_s: True),
        f"{_GATE}.SendGateTests.test_each_send_needs_a_grant",
    ),
    Proof(
        "the hosts keep a limit together",
        replace(SyncController, "request_grants", _grant_by_own_ledger),
        f"{_SIMULATED}.test_a_limit_holds_for_the_sum_of_all_hosts",
    ),
    Proof(
        "a grant expires",
        replace(_grant_store, "GRANT_LIFETIME_S", 1_000.0),
        f"{_GATE}.GrantStoreTests.test_a_grant_expires_from_when_it_was_asked_for",
    ),
    Proof(
        "a new leader's buckets start empty",
        _full_buckets,
        f"{_LEDGER}.WindowTests.test_no_window_has_more_than_the_limit_allows",
    ),
    Proof(
        "grants that nobody used come back",
        replace(GrantStore, "take_unused", lambda self, now_s: {}),
        f"{_GATE}.GrantStoreTests.test_grants_that_nobody_used_are_returned_once",
    ),
    Proof(
        "grants of lost replies come back",
        _lost_replies_forgotten,
        f"{_GATE}.GrantReplyTests.test_grants_of_a_lost_reply_come_back",
    ),
    Proof(
        "a reply from before a limit does not end it",
        replace(_backends, "newest_statement", lambda known, heard: heard),
        f"{_NOTICES}.test_a_reply_from_before_the_limit_ends_it_nowhere",
    ),
    Proof(
        "hosts tell each other of limits",
        _limits_not_told,
        f"{_NOTICES}.test_a_limit_begins_changes_and_ends_at_every_host",
    ),
    Proof(
        "the leader's clock bounds the age of a notice",
        replace(LeaderClock, "at_least_s", lambda self, leader_id, now_s: None),
        f"{_NOTICES}.test_a_limit_begins_changes_and_ends_at_every_host",
    ),
    Proof(
        "a limit near zero gets a request now and then",
        replace(_grant_ledger, "MIN_RATE_PER_S", 1e-9),
        f"{_LEDGER}.WindowTests.test_a_limit_of_zero_gets_a_request_now_and_then",
    ),
    Proof(
        "a scarce token is kept for the better claim",
        replace(_grant_ledger._Bucket, "rank", lambda *_: _grant_ledger._Rank(0, 0)),
        f"{_LEDGER}.FairnessTests.test_urgent_requests_come_first",
    ),
    Proof(
        "callers of limited backend servers return spread",
        replace(_overload, "_served_per_s", lambda backend, service_s, now_s: 1e9),
        f"{_OVERLOAD}."
        "test_callers_of_limited_servers_return_no_faster_than_the_limits_allow",
    ),
    Proof(
        "the share grows back after a limit",
        replace(_backend, "LIMIT_RAMP_S", 0.0),
        f"{_OVERLOAD}.test_a_server_gets_its_share_back_over_two_seconds",
    ),
)

__all__ = ["LIMIT_PROOFS"]
