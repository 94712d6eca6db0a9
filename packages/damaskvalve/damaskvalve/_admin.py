"""The administration API: reads and changes the configuration over HTTP."""

import json
import time
from collections.abc import Callable
from typing import Any

from damaskvalve._configuration import check_rows
from damaskvalve._exchange import JSON, Exchange, Reply
from damaskvalve._filters._authorise import require_lease
from damaskvalve._subscription import Subscription
from damaskvalve._view import ConfigurationView
from damaskvalve_core import (
    UNKNOWN,
    LeaderClient,
    RefusedError,
    RetryLaterError,
    SettingsError,
)
from damaskvalve_core.messages import ChangeConfiguration, Command, ReadRequest, Row

ADMIN_PATH = "/admin/v1/"
COMMIT_TIMEOUT_S = 3.0
READABLE = ("rows", "claims", "suspects", "audit", "status")


def _decode_change(body: bytes) -> tuple[str, int, list[tuple[str, str, str | None]]]:
    try:
        document = json.loads(body)
        operation_id = str(document["operation_id"])
        expected_revision = int(document["expected_revision"])
        rows = [_decode_row(item) for item in document["rows"]]
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise RefusedError(
            400,
            "bad_change",
            "a change needs operation_id, expected_revision and rows",
        ) from error
    if not operation_id or not rows:
        raise RefusedError(400, "bad_change", "operation_id and rows must not be empty")
    return operation_id, expected_revision, rows


def _decode_row(item: Any) -> tuple[str, str, str | None]:
    value = item.get("value")
    text = None if value is None else json.dumps(value, sort_keys=True)
    return str(item["table"]), str(item["key"]), text


class AdminApi:
    """Handles operators' requests; each change records the operator's name."""

    def __init__(
        self,
        view: ConfigurationView,
        leader: LeaderClient,
        subscription: Subscription,
        wall_s: Callable[[], float],
    ) -> None:
        self._view = view
        self._leader = leader
        self._subscription = subscription
        self._wall_s = wall_s

    def answer(self, exchange: Exchange) -> Reply:
        """Authenticate the operator and answer the request."""
        require_lease(self._view)
        operator = self._view.operator(exchange.presented_digest)
        if operator is None:
            raise RefusedError(401, "not_an_operator", "an operator's key is required")
        what = exchange.path[len(ADMIN_PATH) :]
        if exchange.method == "GET" and what in READABLE:
            return self._read(what, exchange.query)
        if exchange.method == "POST" and what == "changes":
            if operator.role != "change":
                raise RefusedError(403, "read_only", "this operator may only read")
            return self._change(exchange, operator.name)
        raise RefusedError(404, "no_admin_call", "unknown administration request")

    def _read(self, what: str, query: str) -> Reply:
        reply = self._subscription.read(ReadRequest(what, query))
        document = {
            "revision": reply.revision,
            "rows": [
                {"table": row.table, "key": row.key, "value": json.loads(row.value)}
                for row in reply.rows or ()
            ],
            "claims": [item.claim_id for item in reply.claims or ()],
            "suspects": [
                {
                    "fingerprint": item.fingerprint,
                    "crashes": item.crashes,
                    "quarantined": item.quarantined,
                }
                for item in reply.suspects or ()
            ],
            "audit": [
                {
                    "revision": item.revision,
                    "actor": item.actor,
                    "operation_id": item.operation_id,
                    "summary": item.summary,
                    "at_s": item.at_s,
                }
                for item in reply.audit or ()
            ],
            "members": [item.address for item in reply.members or ()],
            "leader": reply.leader_address,
        }
        return Reply(200, JSON, json.dumps(document).encode())

    def _change(self, exchange: Exchange, operator: str) -> Reply:
        operation_id, expected_revision, rows = _decode_change(exchange.body)
        try:
            check_rows(rows, "rows")
        except SettingsError as error:
            raise RefusedError(400, "bad_rows", str(error)) from error
        change = ChangeConfiguration(
            operation_id,
            expected_revision,
            operator,
            [Row(table, key, value, 0) for table, key, value in rows],
            self._wall_s(),
        )
        try:
            result = self._leader.commit(Command(change=change), COMMIT_TIMEOUT_S)
        except RetryLaterError as error:
            raise RefusedError(
                503,
                "outcome_unknown",
                "the outcome is unknown; send the same operation_id again",
                ran=UNKNOWN,
                retry_after_s=1.0,
            ) from error
        status = 200 if result.accepted else 409
        document = {
            "accepted": result.accepted,
            "reason": result.reason,
            "revision": result.revision,
            "actor": result.actor,
        }
        return Reply(status, JSON, json.dumps(document).encode())


def wall_clock() -> float:
    """Return the wall time in seconds."""
    return time.time()
