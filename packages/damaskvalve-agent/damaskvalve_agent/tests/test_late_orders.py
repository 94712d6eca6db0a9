"""Loads without an answer that an engine may carry out after it has restarted."""

import types
import unittest
from unittest import mock

from damaskvalve_agent._permits._engine import EngineCall
from damaskvalve_agent._permits._run import PermitServer
from damaskvalve_agent.permits import LOAD, NO_ANSWER, PermitSettings
from damaskvalve_agent.tests.test_permits import (
    make_admission,
    make_report,
    make_request,
)
from damaskvalve_core import boot_clock_s
from damaskvalve_core.http import BackendPool


def send_unanswered(admission, version=0, restart=None):
    """Send a load that has no answer; a restart may be seen meanwhile."""
    admission.submit(make_request(1, "a1", version), 0.0)
    order = admission.next_order(0.0)
    mark = admission.engine.mark()
    if restart is not None:
        admission.apply_report(restart, 0.1)
    admission.record_outcome(order, NO_ANSWER, 0.2, mark)
    admission.cancel("r1")
    return order


class LateOrderTests(unittest.TestCase):
    def assert_kept(self, admission, now_s):
        """Assert that the only place is kept, until no order can be so late."""
        admission.submit(make_request(2, "a2", now_s=now_s), now_s)
        self.assertIsNone(admission.next_order(now_s))
        self.assertEqual(admission.next_order(10.3).kind, LOAD)

    def test_an_unanswered_replacement_finds_a_place_after_a_restart(self):
        """The adapter that it was to replace is lost."""
        admission = make_admission(adapter_slots=1, adapters={"a1": 1})
        order = send_unanswered(admission, version=2)
        self.assertEqual((order.kind, order.version), (LOAD, 2))
        admission.apply_report(make_report((), (), 2, 0), 0.5)
        self.assert_kept(admission, 0.5)

    def test_an_order_finds_a_place_after_another_restart(self):
        """In between, the count exceeded the one that it names."""
        admission = make_admission(adapter_slots=1)
        send_unanswered(admission)
        admission.apply_report(make_report((), (), 2, 3), 0.5)
        admission.submit(make_request(3, "a3"), 0.5)
        self.assertEqual(admission.next_order(0.5).kind, LOAD)
        admission.cancel("r3")
        admission.apply_report(make_report((), (), 3, 0), 1.0)
        self.assert_kept(admission, 1.0)

    def test_an_order_counts_for_the_incarnation_it_was_sent_to(self):
        """The restart is seen while its answer is awaited."""
        admission = make_admission(adapter_slots=1)
        admission.apply_report(make_report((), (), 1, 3), 0.0)
        send_unanswered(admission, restart=make_report((), (), 2, 0))
        admission.apply_report(make_report((), (), 2, 1), 0.5)
        self.assert_kept(admission, 0.5)


class UnsentOrderTests(unittest.IsolatedAsyncioTestCase):
    async def test_an_order_that_was_never_sent_keeps_no_place(self):
        """Guards against an engine without a free place for 10 s after a restart."""
        log = types.SimpleNamespace(line=lambda kind, **fields: None, dropped_total=0)
        pool = BackendPool()
        # Nobody listens there: the engine is down.
        settings = PermitSettings("a", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", [])
        call = EngineCall("POST", b"/order", [], b"")
        dialect = mock.Mock()
        dialect.order_call.return_value = dialect.report_call.return_value = call
        server = PermitServer(settings, dialect, pool, log)
        admission = server._admission = make_admission(adapter_slots=1)
        admission.submit(make_request(1, "a1"), 0.0)
        for _ in range(5):
            await server._send_order(admission.next_order(0.0))
        admission.apply_report(make_report((), (), 2, 0), boot_clock_s())
        order = admission.next_order(boot_clock_s())
        self.assertEqual((order.kind, order.adapter), (LOAD, "a1"))


if __name__ == "__main__":
    unittest.main()
