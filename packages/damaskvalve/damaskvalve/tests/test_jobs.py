"""Tests of reading and dropping deferred jobs."""

import unittest

from damaskvalve._jobs import JobApi
from damaskvalve_core import RefusedError, RetryLaterError
from damaskvalve_core.messages import CommandResult, JobRecord, ReadReply, StoredAnswer


class FakeLeader:
    """A leader whose state has one finished job."""

    def __init__(self, fresh=True):
        answer = StoredAnswer(200, "text/plain", b"done")
        self.jobs = {"j1": JobRecord(job_id="j1", workspace="w", answer=answer)}
        self.fresh = fresh

    def call(self, request, timeout_s):
        if self.jobs is None:
            raise RetryLaterError("no control host is the leader now")
        job = self.jobs.get(request.key)
        return ReadReply(self.fresh, 1, jobs=[job] if job else [])

    def commit(self, command, timeout_s):
        return CommandResult(self.jobs.pop(command.drop.job_id, None) is not None)


class JobApiTests(unittest.TestCase):
    def test_dropped_job_is_not_found_at_once(self):
        """Reads go to the leader, because followers may lag behind the drop."""
        api = JobApi(FakeLeader())
        self.assertEqual(api.fetch("w", "j1").status, 200)
        self.assertEqual(api.drop("w", "j1").status, 204)
        with self.assertRaises(RefusedError) as caught:
            api.fetch("w", "j1")
        self.assertEqual(caught.exception.status, 404)

    def test_job_is_hidden_from_other_workspaces(self):
        """Neither its answer nor its existence is visible."""
        with self.assertRaises(RefusedError) as caught:
            JobApi(FakeLeader()).fetch("other", "j1")
        self.assertEqual(caught.exception.status, 404)

    def test_job_is_not_reported_missing_without_a_leader(self):
        """The same holds if the leader that answers has lost contact with its group."""
        unreachable, stale = FakeLeader(), FakeLeader(fresh=False)
        unreachable.jobs = None
        for leader in (unreachable, stale):
            with self.assertRaises(RefusedError) as caught:
                JobApi(leader).fetch("w", "j1")
            self.assertEqual(caught.exception.status, 503)
            self.assertGreater(caught.exception.retry_after_s, 0)
