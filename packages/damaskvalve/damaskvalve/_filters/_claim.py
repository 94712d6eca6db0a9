"""At-most-once execution: claims before dispatch, stores answers before delivery."""

import hashlib
import time

import logbook

from damaskvalve._configuration import ONCE
from damaskvalve._exchange import IDEMPOTENCY_HEADER, Exchange, Filter, Handler, Reply
from damaskvalve._subscription import Subscription
from damaskvalve_core import (
    NOT_RUN,
    RAN,
    UNKNOWN,
    LeaderClient,
    Recorder,
    RefusedError,
    RetryLaterError,
    boot_clock_s,
)
from damaskvalve_core.messages import (
    AnswerOnce,
    ClaimOnce,
    ClaimRecord,
    Command,
    CommandResult,
    ReadRequest,
    ReleaseOnce,
    StoredAnswer,
)
from damaskvalve_state import RUNNING

COMMIT_TIMEOUT_S = 3.0
COMMIT_ATTEMPTS = 4
COMMIT_RETRY_S = 0.3
ANSWER_WAIT_S = 5.0
ANSWER_POLL_S = 0.1
REPLAYED_HEADER = "Idempotent-Replayed"
MAX_KEY_LENGTH = 255

_log = logbook.Logger("claim")


def make_claim_id(workspace: str, path: str, idempotency_key: str) -> str:
    """Return the id of a claim: a digest of workspace, path and Idempotency-Key."""
    digest = hashlib.sha256()
    for part in (workspace, path, idempotency_key):
        digest.update(part.encode("utf-8", "replace"))
        digest.update(b"\0")
    return digest.hexdigest()


def _unknown(message: str) -> RefusedError:
    """Return the refusal of a request whose outcome is unknown."""
    return RefusedError(409, "outcome_unknown", message, ran=UNKNOWN, retry_after_s=2.0)


class _ClaimStore:
    """Commits and reads claims; every operation is idempotent."""

    def __init__(self, leader: LeaderClient, subscription: Subscription) -> None:
        self._leader = leader
        self._subscription = subscription

    def commit(self, command: Command) -> CommandResult:
        """Commit a command, in up to ``COMMIT_ATTEMPTS`` attempts.

        Raise :class:`RetryLaterError` if its outcome is still unknown then.
        """
        for attempt in range(COMMIT_ATTEMPTS):
            try:
                return self._leader.commit(command, COMMIT_TIMEOUT_S)
            except RetryLaterError as error:
                _log.info("claim commit attempt {} failed: {}", attempt, error)
                time.sleep(COMMIT_RETRY_S * (attempt + 1))
        raise RetryLaterError("the control hosts did not confirm the claim command")

    def await_answer(self, claim_id: str, deadline_s: float) -> ClaimRecord | None:
        """Wait for the answer to the earlier request; return None if there is none."""
        wait_until_s = min(deadline_s, boot_clock_s() + ANSWER_WAIT_S)
        while boot_clock_s() < wait_until_s:
            reply = self._subscription.read(ReadRequest("claim", claim_id))
            if reply.claims and reply.claims[0].answer is not None:
                return reply.claims[0]
            time.sleep(ANSWER_POLL_S)
        return None


def _replay(claim: ClaimRecord) -> Reply:
    answer = claim.answer
    return Reply(
        answer.status,
        answer.content_type,
        answer.body,
        headers=[(REPLAYED_HEADER, "true")],
    )


def make_claim_filter(
    leader: LeaderClient, subscription: Subscription, record: Recorder
) -> Filter:
    """Return the filter that runs a request of a once route at most once."""
    claims = _ClaimStore(leader, subscription)

    def claim(exchange: Exchange, next_handler: Handler) -> Reply:
        if exchange.require_route().kind != ONCE:
            return next_handler(exchange)
        claim_id = _claim_id(exchange)
        body_digest = _body_digest(exchange)
        holder = exchange.request_id
        command = Command(claim=ClaimOnce(claim_id, body_digest, holder))
        try:
            result = claims.commit(command)
        except RetryLaterError as error:
            raise _unknown("it is unknown whether the request has run") from error
        record("claim", request=holder, claim=claim_id, accepted=result.accepted)
        is_own = result.claim is not None and result.claim.holder == holder
        if result.accepted or (is_own and result.reason == RUNNING):
            return _run(exchange, claim_id, next_handler)
        return _answer_resend(exchange, claim_id, result)

    def _run(exchange: Exchange, claim_id: str, next_handler: Handler) -> Reply:
        exchange.streamed = False
        try:
            reply = next_handler(exchange)
        except RefusedError as error:
            if error.ran == NOT_RUN:
                _release(claim_id, exchange.request_id, error)
            raise
        answer = StoredAnswer(reply.status, reply.headers[0][1], reply.body, RAN)
        command = Command(answer=AnswerOnce(claim_id, exchange.request_id, answer))
        try:
            result = claims.commit(command)
        except RetryLaterError as error:
            raise _unknown(
                "the request ran, but its answer could not be stored"
            ) from error
        if not result.accepted and result.claim is not None and result.claim.answer:
            return _replay(result.claim)
        record("answer-stored", request=exchange.request_id, claim=claim_id)
        return reply

    def _release(claim_id: str, holder: str, refusal: RefusedError) -> None:
        command = Command(release=ReleaseOnce(claim_id, holder))
        try:
            claims.commit(command)
        except RetryLaterError as error:
            # The claim stays, so a resend is answered that the outcome is unknown.
            _log.warning(
                "release of claim {} was not confirmed; its outcome stays unknown: {}",
                claim_id,
                error,
            )

    def _answer_resend(
        exchange: Exchange, claim_id: str, result: CommandResult
    ) -> Reply:
        if result.reason == "other-body":
            raise RefusedError(
                422, "key_reused", "this Idempotency-Key was used with another body"
            )
        if result.reason == "full":
            raise RefusedError(
                503, "claims_full", "the claim store is full", retry_after_s=60.0
            )
        if result.claim is not None and result.claim.answer is not None:
            return _replay(result.claim)
        try:
            settled = claims.await_answer(claim_id, exchange.deadline_s)
        except RefusedError as error:
            raise _unknown(
                "the earlier request with this key cannot be looked up"
            ) from error
        if settled is None:
            raise _unknown("an earlier request with this key has not been answered")
        return _replay(settled)

    return claim


def _claim_id(exchange: Exchange) -> str:
    key = exchange.headers.pop(IDEMPOTENCY_HEADER, "")
    if not 1 <= len(key) <= MAX_KEY_LENGTH:
        raise RefusedError(
            400, "no_idempotency_key", "this route needs an Idempotency-Key header"
        )
    return make_claim_id(exchange.workspace_name(), exchange.path, key)


def _body_digest(exchange: Exchange) -> str:
    digest = hashlib.sha256()
    for part in (exchange.method, exchange.query, exchange.adapter_key()):
        digest.update(part.encode("utf-8", "replace"))
        digest.update(b"\0")
    digest.update(exchange.body)
    return digest.hexdigest()
