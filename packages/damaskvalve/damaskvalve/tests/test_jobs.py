"""Deferred work as its callers read and drop it."""

import unittest

from damaskvalve._jobs import JobApi
from damaskvalve_core import RefusedError, RetryLaterError
from damaskvalve_core.messages import CommandResult, JobRecord, ReadReply, StoredAnswer


class FakeLeader:
    """A leader whose state has one finished job; followers lag behind it."""

    def __init__(self, fresh=True):
        answer = StoredAnswer(200, "text/plain", b"done")
        self.jobs = {"j1": JobRecord(job_id="j1", workspace="w", answer=answer)}
        self.fresh = fresh

    def ask(self, request, timeout_s):
        if self.jobs is None:
            raise RetryLaterError("no control host is the leader now")
        job = self.jobs.get(request.key)
        return ReadReply(self.fresh, 1, jobs=[job] if job else [])

    def commit(self, command, timeout_s):
        return CommandResult(self.jobs.pop(command.drop.job_id, None) is not None)


class JobDeskTests(unittest.TestCase):
    def test_a_dropped_job_is_gone_at_once(self):
        """The read after the acknowledgement goes to the leader too."""
        api = JobApi(FakeLeader())
        self.assertEqual(api.fetch("w", "j1").status, 200)
        self.assertEqual(api.drop("w", "j1").status, 204)
        with self.assertRaises(RefusedError) as caught:
            api.fetch("w", "j1")
        self.assertEqual(caught.exception.status, 404)

    def test_another_workspace_sees_nothing(self):
        """Neither the answer nor that there is one."""
        with self.assertRaises(RefusedError) as caught:
            JobApi(FakeLeader()).fetch("other", "j1")
        self.assertEqual(caught.exception.status, 404)

    def test_without_a_leader_nothing_is_called_gone(self):
        """Nor while the one that answers has lost touch with its group."""
        silent, stale = FakeLeader(), FakeLeader(fresh=False)
        silent.jobs = None
        for leader in (silent, stale):
            with self.assertRaises(RefusedError) as caught:
                JobApi(leader).fetch("w", "j1")
            self.assertEqual(caught.exception.status, 503)
            self.assertGreater(caught.exception.retry_after_s, 0)
