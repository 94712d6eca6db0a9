"""The planned stop of an agent."""

import contextlib
import threading
import time
import unittest
from unittest import mock

import pykka

from damaskvalve_agent._agent_stop import LEAVING_NOTICE_S, drain, release_fence
from damaskvalve_agent._fair_queue import FairQueue, Ticket
from damaskvalve_agent._fence import Fence
from damaskvalve_agent._registration import Registration
from damaskvalve_agent._scheduler import Scheduler, SchedulerLimits
from damaskvalve_agent._scheduler_actor import SchedulerActor, SchedulerHandle
from damaskvalve_agent._service import Counters, WorkService
from damaskvalve_agent._slots import Slots
from damaskvalve_core import (
    MIN_GRACE_S,
    NOT_RUN,
    PlannedStop,
    ProtocolError,
    boot_clock_s,
    discard_event,
)
from damaskvalve_core.messages import PermitReply, WorkRefused, WorkRequest

# How long a request still runs at the stop.
RUNS_S = 1.5


class SlowEngine:
    """An engine whose loads take some time."""

    def __init__(self):
        self.loading = threading.Event()
        self.loaded = threading.Event()

    def load(self, name, fence_number):
        self.loading.set()
        time.sleep(RUNS_S)
        self.loaded.set()


@contextlib.contextmanager
def running_scheduler(engine, fence):
    limits = SchedulerLimits(4, 2)
    scheduler = Scheduler(FairQueue(8, 100.0), Slots(2), limits, lambda: 0.5)
    control = mock.Mock()
    control.request_permit.return_value = PermitReply(True, "", "p-1", 0.0, 0.0)
    ref = SchedulerActor.start(scheduler, engine, control, fence, "me", discard_event)
    try:
        yield SchedulerHandle(ref, ref._actor_weakref())
    finally:
        ref.stop()


class WaitingRequestTests(unittest.TestCase):
    def test_a_waiting_request_was_cut_by_the_stop_of_its_agent(self):
        """Its host is told that it has not run; a request that runs is left alone."""
        handle, fence = mock.Mock(), Fence("me")
        handle.submit.return_value = pykka.ThreadingFuture()
        fence.granted(1, "", boot_clock_s(), boot_clock_s())
        counters, stop = Counters(), PlannedStop(MIN_GRACE_S)
        settings, backend = mock.Mock(kind="service", serves="desk"), mock.MagicMock()
        service = WorkService(settings, handle, backend, fence, counters, discard_event)
        service.backend_up = True
        service._running[0] = WorkRequest("r-0"), ""
        counters.enter()
        work = WorkRequest(
            "r-1",
            workspace="w",
            share=1.0,
            kind="service",
            model="desk",
            cost_units=1.0,
            deadline_s=60.0,
        )
        connection = mock.Mock()
        connection.peer_gone.return_value = False
        replies = []

        def answer():
            for reply in service.handle(work, connection):
                replies.append(reply)
                if len(replies) > 20:
                    return

        thread = threading.Thread(target=answer)
        thread.start()
        self.addCleanup(thread.join)
        stop.begin(boot_clock_s() - MIN_GRACE_S + 2.2)
        self.assertFalse(drain(stop, service, counters, lambda: False, []))
        self.assertLess(boot_clock_s(), stop.answered_s())
        refused = replies[-1]
        self.assertIsInstance(refused, WorkRefused)
        self.assertEqual((refused.code, refused.ran), ("backend_leaving", NOT_RUN))
        handle.cancel.assert_called_once()


class DrainTests(unittest.TestCase):
    def setUp(self):
        self.service = mock.Mock(leaving=False)
        self.service.running_ids.return_value = ["r-1"]
        self.counters = Counters()
        self.stop = PlannedStop(MIN_GRACE_S)
        self.stop.begin(boot_clock_s())
        self.is_ordering = lambda: False

    def run_request(self):
        """Answer a request for some time; return the event of its end."""
        ended = threading.Event()
        self.counters.enter()

        def end():
            ended.set()
            self.counters.leave()

        timer = threading.Timer(RUNS_S, end)
        self.addCleanup(timer.cancel)
        timer.start()
        return ended

    def drain(self, reports):
        return drain(self.stop, self.service, self.counters, self.is_ordering, reports)

    def test_a_report_that_failed_cut_the_requests_of_an_agent_that_stops(self):
        """They are finished, and the other control hosts are told."""
        for error in (pykka.Timeout("busy"), ProtocolError("invalid reply")):
            with self.subTest(error):
                ended, told = self.run_request(), threading.Event()
                self.drain([mock.Mock(side_effect=error), told.set])
                self.assertTrue(ended.is_set())
                self.assertTrue(told.is_set())

    def test_control_hosts_that_answer_slowly_delayed_the_stop_of_an_agent(self):
        """Each of them is told at once, and none is waited for."""
        told = []

        def report_slowly():
            told.append(time.monotonic())
            time.sleep(1.0)

        started_s = time.monotonic()
        self.drain([report_slowly] * 9)
        self.assertEqual(len(told), 9)
        self.assertLess(max(told) - started_s, LEAVING_NOTICE_S)
        self.assertLess(time.monotonic() - started_s, 2 * LEAVING_NOTICE_S)

    def test_the_time_of_a_stop_was_not_counted_from_its_signal(self):
        """What came before the drain is part of the grace period."""
        self.counters.enter()
        self.stop = PlannedStop(MIN_GRACE_S)
        self.stop.begin(boot_clock_s() - MIN_GRACE_S + 2.5)
        started_s = time.monotonic()
        self.assertFalse(self.drain([]))
        self.assertLess(time.monotonic() - started_s, 1.0)

    def test_the_fence_was_released_while_an_order_was_on_its_way(self):
        """A successor sends its orders at once; the request may have gone meanwhile."""
        engine, fence = SlowEngine(), Fence("me")
        fence.granted(1, "", boot_clock_s(), boot_clock_s())
        now_s = boot_clock_s()
        ticket = Ticket("r-1", "w", 1.0, "ink@1", 1.0, now_s + 60.0, now_s)
        with running_scheduler(engine, fence) as handle:
            self.is_ordering = handle.is_ordering
            handle.submit(ticket)
            self.assertTrue(engine.loading.wait(5.0))
            handle.cancel(ticket)
            self.assertTrue(self.drain([]))
            self.assertTrue(engine.loaded.is_set())

    def test_a_leader_that_does_not_answer_held_the_end_of_an_agent(self):
        """The fence is given up at once, and its release is not waited for too long."""
        unused = [mock.MagicMock() for _ in range(9)]
        registration = Registration(*unused)
        registration._fence = Fence("me")
        registration._fence.granted(1, "", boot_clock_s(), boot_clock_s())
        released = threading.Event()
        self.addCleanup(released.set)
        registration._control.grant_fence = lambda *_: released.wait(20.0)
        stop = PlannedStop(MIN_GRACE_S)
        stop.begin(boot_clock_s() - MIN_GRACE_S + 1.5)
        release_fence(stop, registration)
        self.assertLess(boot_clock_s(), stop.killed_s())
        self.assertIsNone(registration._fence.number(boot_clock_s()))
        threads = [item for item in threading.enumerate() if not item.daemon]
        self.assertEqual(threads, [threading.main_thread()])


if __name__ == "__main__":
    unittest.main()
