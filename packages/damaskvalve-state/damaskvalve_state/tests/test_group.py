"""A running member: group commit, restart and disk failures."""

import asyncio
import errno
import signal
import tempfile
import threading
import time
import unittest
from pathlib import Path
from unittest import mock

from damaskvalve_core import ChannelError, RetryLaterError, boot_clock_s
from damaskvalve_core.messages import ClaimOnce, Command
from damaskvalve_state import (
    Journal,
    NodeSettings,
    Timing,
    _stored_member,
    running_group,
)

ADDRESS = "127.0.0.1:1"

# What is left for the member of 8 s of grace once the last answers are sent.
STOP_RESERVE_S = 0.5


class NoPeers:
    """A dialer without reachable peers."""

    def call(self, address, message, timeout_s):
        raise ChannelError("no peer is reachable")


def claim(name):
    return Command(claim=ClaimOnce(name, "d", "h"))


class GroupTests(unittest.TestCase):
    def setUp(self):
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.settings = NodeSettings(
            Path(scratch.name) / "group",
            ADDRESS,
            "dc",
            [ADDRESS],
            Timing(election_timeout_s=0.3, heartbeat_s=0.05),
        )

    def commit(self, group, name):
        """Commit once the group of one has a leader."""
        for _ in range(200):
            result = group.propose(claim(name), 5.0)
            if result is not None:
                return result
            time.sleep(0.05)
        self.fail("a group of one has no leader")

    def test_single_member_group_bootstraps_and_keeps_accepted_commands(self):
        """A claim is still known after a restart."""
        with running_group(self.settings, NoPeers()) as group:
            self.assertTrue(self.commit(group, "a").accepted)
        with running_group(self.settings, NoPeers()) as group:
            self.assertFalse(self.commit(group, "a").accepted)

    def test_a_leader_that_lags_behind_its_commits_does_not_serve(self):
        """It would confirm a state from before its term as the newest."""

        def lag(node, now_s):
            node.applied_index -= 1
            node._publish(now_s)
            lagging = node._published.status.is_leader
            node.applied_index += 1
            node._publish(now_s)
            return lagging, node._published.status.is_leader

        with running_group(self.settings, NoPeers()) as group:
            for _ in range(200):
                if group.status().is_leader:
                    break
                time.sleep(0.05)
            self.assertEqual(group.run(lag), (False, True))

    def test_queued_proposals_share_one_sync(self):
        """60 concurrent proposals need fewer than 30 syncs.

        The first sync lasts until all of them have been made: how fast threads start
        depends on the load of the machine.
        """
        syncs = []
        original = Journal.append
        made = threading.Semaphore(0)

        def append(journal, records):
            if records:
                syncs.append(len(records))
                if len(syncs) == 1:
                    for _ in range(60):
                        made.acquire(timeout=10.0)
            original(journal, records)

        with running_group(self.settings, NoPeers()) as group:
            self.commit(group, "first")

            def propose(number):
                made.release()
                group.propose(claim(f"c{number}"), 20.0)

            with mock.patch.object(Journal, "append", append):
                threads = [
                    threading.Thread(target=propose, args=(number,))
                    for number in range(60)
                ]
                for thread in threads:
                    thread.start()
                for thread in threads:
                    thread.join()
        self.assertEqual(sum(syncs), 60)
        self.assertLess(len(syncs), 30)

    def test_a_proposal_that_the_disk_holds_held_the_end_of_an_event_loop(self):
        """No thread waits for its outcome, which comes after the loop has closed."""
        release = threading.Event()
        self.addCleanup(release.set)

        async def propose(group):
            result = await group.propose_async(claim("second"), 5.0)
            self.assertTrue(result.accepted)
            with mock.patch.object(Journal, "append", lambda *_: release.wait(3.0)):
                call = asyncio.ensure_future(group.propose_async(claim("third"), 9.0))
                await asyncio.sleep(0.1)
                call.cancel()
            return boot_clock_s()

        with running_group(self.settings, NoPeers()) as group:
            self.commit(group, "first")
            cancelled_s = asyncio.run(propose(group))
            self.assertLess(boot_clock_s() - cancelled_s, STOP_RESERVE_S)
            release.set()

    def test_a_disk_that_stalls_held_the_stop_of_a_process(self):
        """The member is abandoned; the process does not wait for its thread either."""
        release, stalled = threading.Event(), threading.Event()
        self.addCleanup(release.set)

        def stall(*_):
            stalled.set()
            release.wait(10.0)

        with mock.patch.object(Journal, "append", stall):
            with running_group(self.settings, NoPeers()) as group:
                group.tick()
                self.assertTrue(stalled.wait(5.0))
                stopped_s = time.monotonic()
            self.assertLess(time.monotonic() - stopped_s, STOP_RESERVE_S)
            threads = [item for item in threading.enumerate() if not item.daemon]
            self.assertEqual(threads, [threading.main_thread()])

    def test_disk_failure_ends_the_process_without_acknowledging(self):
        """The proposer is told that the outcome is unknown.

        The error has lasted for the time in which disks recover.
        """
        lasting = mock.patch.object(_stored_member, "MAX_DISK_ERROR_S", 0.1)
        with lasting, running_group(self.settings, NoPeers()) as group:
            self.commit(group, "first")
            broken = mock.patch.object(Journal, "append", side_effect=OSError("full"))
            with mock.patch("os.kill") as kill, broken:
                with self.assertRaises(RetryLaterError):
                    group.propose(claim("second"), 2.0)
                for _ in range(100):
                    if kill.called:
                        break
                    time.sleep(0.02)
            self.assertEqual(kill.call_args[0][1], signal.SIGTERM)

    def test_full_disk_delays_commits_without_acknowledging(self):
        """The process continues and commits the proposal once the disk has space."""
        with running_group(self.settings, NoPeers()) as group:
            self.commit(group, "first")
            full = OSError(errno.ENOSPC, "full")
            with mock.patch("os.kill") as kill:
                with mock.patch.object(Journal, "append", side_effect=full):
                    with self.assertRaises(RetryLaterError):
                        group.propose(claim("second"), 0.5)
                self.assertFalse(self.commit(group, "second").accepted)
            self.assertFalse(kill.called)
        with running_group(self.settings, NoPeers()) as group:
            self.assertFalse(self.commit(group, "second").accepted)


if __name__ == "__main__":
    unittest.main()
