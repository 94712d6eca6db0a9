"""Deferred jobs: accepted once replicated, run later by any entry host."""

import contextlib
import hashlib
import json
import threading
from collections.abc import Callable, Iterator

import logbook

from damaskvalve._configuration import DEFERRED
from damaskvalve._exchange import (
    IDEMPOTENCY_HEADER,
    JSON,
    Exchange,
    Filter,
    Handler,
    Reply,
)
from damaskvalve._view import ConfigurationView
from damaskvalve_core import (
    UNKNOWN,
    LeaderClient,
    PlannedStop,
    Recorder,
    RefusedError,
    RetryLaterError,
    boot_clock_s,
)
from damaskvalve_core.messages import (
    Command,
    DropJob,
    FinishJob,
    JobRecord,
    LeaseJobRequest,
    ReadRequest,
    StoredAnswer,
    SubmitJob,
)

COMMIT_TIMEOUT_S = 3.0
# A read may time out early, since the caller polls for the answer anyway.
READ_TIMEOUT_S = 1.5
IDLE_POLL_S = 0.5
# The deadline of one run of a job, which has no caller waiting for it.
RUN_DEADLINE_S = 600.0
JOBS_PATH = "/v1/jobs/"
MAX_JOB_BYTES = 1024 * 1024

_log = logbook.Logger("jobs")


def make_job_id(
    workspace: str, path: str, idempotency_key: str, request_id: str
) -> str:
    """Return the job's id; a resend with the same Idempotency-Key has the same id."""
    name = f"key\0{idempotency_key}" if idempotency_key else f"id\0{request_id}"
    text = f"{workspace}\0{path}\0{name}"
    return hashlib.sha256(text.encode("utf-8", "replace")).hexdigest()[:32]


def make_deferred_filter(leader: LeaderClient, record: Recorder) -> Filter:
    """Return the filter that answers 202 once a deferred request is replicated."""

    def defer(exchange: Exchange, next_handler: Handler) -> Reply:
        if exchange.require_route().kind != DEFERRED:
            return next_handler(exchange)
        if len(exchange.body) > MAX_JOB_BYTES:
            raise RefusedError(
                413, "job_too_large", "the body of the deferred request is too large"
            )
        key = exchange.headers.pop(IDEMPOTENCY_HEADER, "")
        workspace = exchange.workspace
        if workspace is None:
            raise RefusedError(
                403, "no_workspace", "deferred requests require a workspace"
            )
        job_id = make_job_id(workspace.name, exchange.path, key, exchange.request_id)
        body = json.dumps(
            {
                "method": exchange.method,
                "query": exchange.query,
                "content_type": exchange.headers.get("content-type", JSON),
                "version": exchange.version,
                "body": exchange.body.decode("utf-8", "surrogateescape"),
            }
        )
        submit = SubmitJob(
            job_id, workspace.name, exchange.path, body.encode(), workspace.max_jobs
        )
        _commit_submit(submit)
        record("job-accepted", request=exchange.request_id, job=job_id)
        answer = json.dumps({"job_id": job_id, "location": f"{JOBS_PATH}{job_id}"})
        headers = [("Location", f"{JOBS_PATH}{job_id}")]
        return Reply(202, JSON, answer.encode(), headers=headers)

    def _commit_submit(submit: SubmitJob) -> None:
        try:
            result = leader.commit(Command(submit=submit), COMMIT_TIMEOUT_S)
        except RetryLaterError as error:
            raise RefusedError(
                503,
                "not_replicated",
                "it is unknown whether the job was accepted; send the request again",
                ran=UNKNOWN,
                retry_after_s=1.0,
            ) from error
        if not result.accepted:
            raise RefusedError(
                503,
                "jobs_full",
                "the workspace has too many waiting deferred jobs",
                retry_after_s=10.0,
            )

    return defer


class JobApi:
    """Reads and drops the deferred jobs of a workspace."""

    def __init__(self, leader: LeaderClient) -> None:
        self._leader = leader

    def fetch(self, workspace: str, job_id: str) -> Reply:
        """Return the answer of a job, or status 202 while it is not finished."""
        job = self._find(workspace, job_id)
        if job.answer is None:
            body = json.dumps({"job_id": job_id, "state": "waiting"}).encode()
            return Reply(202, JSON, body, headers=[("Retry-After", "1")])
        return Reply(job.answer.status, job.answer.content_type, job.answer.body)

    def drop(self, workspace: str, job_id: str) -> Reply:
        """Delete a finished job."""
        self._find(workspace, job_id)
        try:
            result = self._leader.commit(
                Command(drop=DropJob(job_id)), COMMIT_TIMEOUT_S
            )
        except RetryLaterError as error:
            raise RefusedError(
                503, "not_replicated", str(error), ran=UNKNOWN, retry_after_s=1.0
            ) from error
        if not result.accepted:
            raise RefusedError(409, "not_finished", "the job has not finished")
        return Reply(204, JSON)

    def _find(self, workspace: str, job_id: str) -> JobRecord:
        """Read from the leader: another control host may still have a dropped job."""
        try:
            reply = self._leader.call(ReadRequest("job", job_id), READ_TIMEOUT_S)
        except RetryLaterError as error:
            raise _read_error(str(error)) from error
        if not reply.fresh:
            raise _read_error(
                "the leader has lost contact with the other control hosts"
            )
        if not reply.jobs or reply.jobs[0].workspace != workspace:
            raise RefusedError(404, "no_job", "no such job in this workspace")
        return reply.jobs[0]


def _read_error(reason: str) -> RefusedError:
    return RefusedError(503, "no_control", reason, retry_after_s=1.0)


class JobRunner:
    """Leases waiting jobs and runs them through the filter chain."""

    def __init__(
        self,
        entry_id: str,
        leader: LeaderClient,
        view: ConfigurationView,
        chain: Handler,
        new_request_id: Callable[[], str],
    ) -> None:
        self._entry_id = entry_id
        self._leader = leader
        self._view = view
        self._chain = chain
        self._new_request_id = new_request_id

    def run_forever(self, stop: threading.Event) -> None:
        """Run jobs until ``stop`` is set; the current job is finished first."""
        while not stop.is_set():
            try:
                has_run = self._run_one()
            except RetryLaterError as error:
                _log.debug("no jobs were leased: {}", error)
                has_run = False
            except Exception:
                _log.exception(
                    "a job failed; it is leased again after its lease expires"
                )
                has_run = False
            if not has_run:
                stop.wait(IDLE_POLL_S)

    def _run_one(self) -> bool:
        if not self._view.is_leased(boot_clock_s()):
            return False
        reply = self._leader.call(LeaseJobRequest(self._entry_id, 1), COMMIT_TIMEOUT_S)
        for job in reply.jobs:
            self._run(job)
        return bool(reply.jobs)

    def _run(self, job: JobRecord) -> None:
        answer = self._execute(job)
        if answer is not None:
            finish = Command(finish=FinishJob(job.job_id, answer))
            self._leader.commit(finish, COMMIT_TIMEOUT_S)

    def _execute(self, job: JobRecord) -> StoredAnswer | None:
        """Run a job; return None if it must run again after its lease expires."""
        exchange = self._make_exchange(job)
        if exchange is None:
            body = b'{"error": {"code": "gone", "message": "no such route now"}}'
            return StoredAnswer(410, JSON, body, "not-run")
        try:
            reply = self._chain(exchange)
        except RefusedError as error:
            _log.info("job {} was refused: {}", job.job_id, error.code)
            if error.status in (400, 404, 413, 422):
                text = json.dumps(
                    {"error": {"code": error.code, "message": str(error)}}
                )
                return StoredAnswer(error.status, JSON, text.encode(), error.ran)
            return None
        return StoredAnswer(reply.status, reply.headers[0][1], reply.body, "ran")

    def _make_exchange(self, job: JobRecord) -> Exchange | None:
        route = self._view.route(job.path)
        workspace = self._view.workspace(job.workspace)
        if route is None or workspace is None:
            return None
        stored = json.loads(job.body)
        now_s = boot_clock_s()
        exchange = Exchange(
            self._new_request_id(),
            stored["method"],
            job.path,
            stored["query"],
            {"content-type": stored["content_type"]},
            stored["body"].encode("utf-8", "surrogateescape"),
            now_s,
        )
        exchange.route = route
        exchange.workspace = workspace
        exchange.deadline_s = now_s + RUN_DEADLINE_S
        return exchange


@contextlib.contextmanager
def running_jobs(runner: JobRunner, count: int, stop: PlannedStop) -> Iterator[None]:
    """Run jobs in threads, which lease no more of them once the process stops.

    On exit, wait for the jobs in flight until the time of the stop is over. Those that
    have not ended by then run again once their leases have expired.
    """
    threads = [
        threading.Thread(target=runner.run_forever, args=(stop.requested,), daemon=True)
        for _ in range(count)
    ]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        stop.begin(boot_clock_s())
        for thread in threads:
            thread.join(max(0.0, stop.answered_s() - boot_clock_s()))
        running = sum(thread.is_alive() for thread in threads)
        if running:
            _log.warning("{} jobs have not ended; they run again elsewhere", running)
