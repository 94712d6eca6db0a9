"""Exchange between hosts and a leader, without a network."""

import asyncio
import math
import types
import unittest

from damaskvalve_core import (
    boot_clock_s,
    decode_message,
    decode_struct,
    encode_message,
    encode_struct,
)
from damaskvalve_core.messages import LimitNotice, SyncReply, SyncRequest
from damaskvalve_gateway._backend import Backend
from damaskvalve_gateway._backends import BackendTable
from damaskvalve_gateway._cluster_view import ClusterView
from damaskvalve_gateway._crash_controller import CrashController
from damaskvalve_gateway._leader_service import MAX_NOTICES, LeaderService
from damaskvalve_gateway._limit_statements import LimitStatement
from damaskvalve_gateway._model import LEAVING, READY, Announcement
from damaskvalve_gateway._notices import to_notice
from damaskvalve_gateway._quota import HostQuota, QuotaSlack
from damaskvalve_gateway._sync import SyncController

SLACK = QuotaSlack(0.0, 0.0, 8.0)


class FakeLog:
    """Keeps the kinds of its lines."""

    def __init__(self):
        self.kinds = []

    def line(self, kind, **fields):
        """Record a line."""
        self.kinds.append(kind)


class FakeStateClient:
    """A group whose leader replies at once."""

    def __init__(self, leader=None):
        # None in the leader's own client.
        self.leader = leader
        self.leader_id = "L/1"
        self.version = None
        self.replies = []

    def status(self):
        return types.SimpleNamespace(leader_id=self.leader_id)

    def leads(self, now_s):
        return self.leader is None

    def committed_version(self):
        return self.version

    def leader_address(self):
        return "10.0.0.1:2"

    def lenders(self):
        return ["10.0.0.1:2"]

    async def ask_host(self, address, request, timeout_s):
        return self.leader.leader_service._tokens(request)

    async def ask_leader(self, request, timeout_s):
        reply = self.leader.leader_service._sync(request)
        self.replies.append((request, reply))
        return reply


class Host:
    """One host's side and, if it leads, the leader's."""

    def __init__(self, number, leader=None):
        address = f"10.0.0.{number}:1"
        settings = types.SimpleNamespace(
            group_address=address,
            quota_slack=SLACK,
            rpc_address=lambda group: group.replace(":1", ":2"),
        )
        self.state_client = FakeStateClient(leader)
        self.view = ClusterView()
        self.view.registered_hosts = frozenset(f"10.0.0.{n}:2" for n in range(9))
        self.log = log = FakeLog()
        quota = HostQuota(SLACK, boot_clock_s())
        self.crashes = CrashController(self.state_client, self.view, log)
        self.leader_service = LeaderService(
            settings, self.state_client, self.view, quota, self.crashes, log
        )
        self.sync = SyncController(
            settings,
            self.state_client,
            self.view,
            quota,
            self.leader_service,
            self.crashes,
            log,
        )

    def sync_until_done(self):
        """Sync until nothing is left to send; return the number of calls."""
        before = len(self.state_client.replies)
        asyncio.run(self.sync.sync_now())
        while self.sync._more:
            asyncio.run(self.sync.sync_now())
        return len(self.state_client.replies) - before

    def live_count(self):
        return len(self.view.backends.live("svc", boot_clock_s(), stale=False))


def announcement(number, state=READY, sequence=1):
    address = f"10.1.{number // 200}.{number % 200}:80"
    resident = tuple(f"m/a{number}.{place}@1" for place in range(20))
    return Announcement(
        f"i-{number}", "svc", address, "dc", state, 1, sequence, 64, resident
    )


class SyncTests(unittest.TestCase):
    def test_a_large_fleet_is_synced_in_bounded_messages(self):
        """A host that knows nothing receives all, as after a restart of all hosts."""
        leader = Host(1)
        for number in range(1_000):
            leader.sync.announce(announcement(number), boot_clock_s())
        host = Host(2, leader)
        calls = host.sync_until_done()
        self.assertEqual(host.live_count(), 1_000)
        self.assertEqual(calls, 5)
        for _, reply in host.state_client.replies:
            self.assertLessEqual(len(reply.notices), MAX_NOTICES)
        self.assertEqual(host.sync_until_done(), 1)
        self.assertEqual(host.state_client.replies[-1][1].notices, [])

    def test_a_host_reports_only_its_own_backends_to_a_new_leader(self):
        """It reports those that announced themselves to it, and all that leave."""
        first = Host(1)
        for number in range(300):
            first.sync.announce(announcement(number), boot_clock_s())
        host = Host(2, first)
        host.sync_until_done()
        host.sync.announce(announcement(300), boot_clock_s())
        first.sync.announce(announcement(7, LEAVING, 2), boot_clock_s())
        host.sync_until_done()
        second = Host(3)
        second.state_client.leader_id = host.state_client.leader_id = "M/2"
        host.state_client.leader = second
        host.sync_until_done()
        reported = {
            notice.instance_id
            for request, _ in host.state_client.replies[-1:]
            for notice in request.notices
        }
        self.assertEqual(reported, {"i-7", "i-300"})

    def test_a_brief_notice_does_not_remove_adapters(self):
        """A host keeps the adapters that it knows if a notice omits them."""
        leader = Host(1)
        leader.sync.announce(announcement(1), boot_clock_s())
        host = Host(2, leader)
        host.sync.announce(announcement(1), boot_clock_s())
        leader.sync.announce(announcement(1, sequence=2), boot_clock_s())
        host.sync_until_done()
        self.assertTrue(host.view.backends.find("i-1").is_resident("m/a1.3", 1))


class ConfirmationTests(unittest.TestCase):
    """What an exchange with the leader says about a host's configuration."""

    def setUp(self):
        self.leader = Host(1)
        self.host = Host(2, self.leader)
        for host in (self.leader, self.host):
            self.bring_in_force(host, 7)

    def bring_in_force(self, host, version):
        host.state_client.version = version
        host.view.confirmations.note_in_force(version)

    def confirmed_s(self):
        return self.host.view.confirmations.confirmed_s

    def test_an_exchange_confirms_the_configuration_as_of_its_request(self):
        """On the leader its own lease does."""
        began_s = boot_clock_s()
        self.host.sync_until_done()
        self.assertLessEqual(began_s, self.confirmed_s())
        self.assertEqual(self.host.view.confirmations.leader_id, "L/1")
        self.leader.sync_until_done()
        self.assertLessEqual(began_s, self.leader.view.confirmations.confirmed_s)

    def test_an_exchange_does_not_confirm_a_configuration_that_the_host_lacks(self):
        """The next one does, once the configuration has arrived."""
        self.bring_in_force(self.leader, 8)
        self.host.sync_until_done()
        self.assertEqual(self.confirmed_s(), -math.inf)
        self.bring_in_force(self.host, 8)
        self.assertGreater(self.confirmed_s(), 0.0)

    def test_a_reply_that_was_read_late_confirms_nothing_since_its_request(self):
        """The host was suspended before it read the reply."""
        request = SyncRequest("10.0.0.2:2", "L/1", 0, [], [], 0.0, {}, None)
        reply = self.leader.leader_service._sync(request)
        asked_s = boot_clock_s() - 60.0
        self.host.sync._apply_reply(reply, asked_s)
        self.assertEqual(self.confirmed_s(), asked_s)

    def test_a_leader_of_an_older_release_confirms_nothing(self):
        """Its replies do not state a version."""
        request = SyncRequest("10.0.0.2:2", "L/1", 0, [], [], 0.0, {}, None)
        reply = self.leader.leader_service._sync(request)
        reply.configuration_version = None
        self.host.sync._apply_reply(
            decode_struct(SyncReply(), encode_struct(reply)), boot_clock_s()
        )
        self.assertEqual(self.confirmed_s(), -math.inf)

    def test_the_version_that_a_leader_states_survives_encoding(self):
        """Versions may be larger than 32 bits."""
        self.bring_in_force(self.leader, 2**40)
        request = SyncRequest("10.0.0.2:2", "L/1", 0, [], [], 0.0, {}, None)
        reply = self.leader.leader_service._sync(request)
        decoded = decode_struct(SyncReply(), encode_struct(reply))
        self.assertEqual(decoded.configuration_version, 2**40)


class LimitNoticeTests(unittest.TestCase):
    """What one host is told about a request limit binds all of them."""

    def setUp(self):
        self.leader = Host(1)
        self.hosts = [Host(2, self.leader), Host(3, self.leader)]
        self.leader.sync.announce(announcement(1), boot_clock_s())
        for host in self.hosts:
            host.sync_until_done()

    def state(self, host, limit_per_s, sent_s=None):
        """Let a host read a reply that states a limit, or none."""
        now_s = boot_clock_s()
        statement = LimitStatement(
            limit_per_s, now_s if sent_s is None else sent_s, now_s
        )
        host.sync.note_limit(host.view.backends.find("i-1"), statement)

    def limits(self):
        hosts = (self.leader, *self.hosts)
        return [host.view.backends.find("i-1").limit_per_s() for host in hosts]

    def sync_all(self):
        for host in self.hosts * 2:
            host.sync_until_done()

    def test_a_limit_begins_changes_and_ends_at_every_host(self):
        """Whichever host is told, and the leader first of all."""
        for host, limit_per_s in (
            (self.hosts[0], 2.0),
            (self.hosts[1], 0.0),
            (self.leader, 5.5),
            (self.hosts[1], None),
            (self.hosts[0], 1.0),
        ):
            self.state(host, limit_per_s)
            self.sync_all()
            self.assertEqual(self.limits(), [limit_per_s] * 3)

    def test_a_reply_from_before_the_limit_ends_it_nowhere(self):
        """Another host read it late."""
        before_s = boot_clock_s()
        self.state(self.hosts[0], 1.0)
        self.sync_all()
        self.state(self.hosts[1], None, sent_s=before_s)
        self.sync_all()
        self.assertEqual(self.limits(), [1.0] * 3)

    def test_a_reply_with_a_limit_from_before_its_end_does_not_bring_it_back(self):
        """Another host read it late."""
        before_s = boot_clock_s()
        self.state(self.hosts[0], 1.0)
        self.sync_all()
        self.state(self.hosts[0], None)
        self.sync_all()
        self.state(self.hosts[1], 1.0, sent_s=before_s)
        self.sync_all()
        self.assertEqual(self.limits(), [None] * 3)

    def test_a_new_leader_is_told_of_limits(self):
        """It has not been told by the backend server itself."""
        self.state(self.hosts[0], 2.0)
        self.sync_all()
        second = Host(4)
        second.sync.announce(announcement(1), boot_clock_s())
        second.state_client.leader_id = "M/2"
        for host in self.hosts:
            host.state_client.leader_id, host.state_client.leader = "M/2", second
        self.sync_all()
        self.assertEqual(second.view.backends.find("i-1").limit_per_s(), 2.0)

    def test_a_limit_ends_with_its_incarnation(self):
        """Another start of the backend server has stated no limit."""
        self.state(self.hosts[0], 1.0)
        self.sync_all()
        restarted = announcement(1)
        restarted.started_at_ms += 1
        self.leader.sync.announce(restarted, boot_clock_s())
        self.sync_all()
        self.assertEqual(self.limits(), [None] * 3)

    def test_a_change_is_reported_at_once(self):
        """It does not wait for the next period; a repetition is not reported."""
        host = self.hosts[0]
        self.state(host, 1.0)
        self.assertTrue(host.sync._urgent.is_set())
        host.sync_until_done()
        self.state(host, 1.0)
        self.assertFalse(host.sync._urgent.is_set())


class FakeCall:
    """Encodes the replies of one call, as a connection does."""

    def __init__(self):
        self.replies = []

    def send(self, message):
        """Record a reply as its receiver reads it."""
        self.replies.append(decode_message(encode_message(message)))


# What an older release may have stored, or another host may send.
ODD_FIELDS = {
    "no id": {"instance_id": None},
    "id for no header": {"instance_id": "a\r\nb"},
    "no service": {"service": None},
    "unknown state": {"state": "paused"},
    "no state": {"state": None},
    "no address": {"address": ""},
    "port": {"address": "10.0.0.1:99999"},
    "no sequence": {"sequence": None},
    "slots": {"slots": -1},
    "version": {"software_version": "\0"},
}
UNENCODABLE_FIELDS = {
    "slots": {"slots": 2**31},
    "sequence": {"sequence": 2**63},
    "surrogate": {"service": "\ud800"},
}


def odd_announcement(number, fields):
    odd = announcement(number)
    for name, value in fields.items():
        setattr(odd, name, value)
    return odd


class RestartedLeaderTests(unittest.TestCase):
    """A leader that has just started knows no backend server."""

    def setUp(self):
        self.leader = Host(1)
        self.host = Host(2, self.leader)
        # Overdue, but not timed out.
        self.seen_s = boot_clock_s() - 4.5
        self.host.view.backends.update(announcement(1), self.seen_s)

    def last_seen_s(self):
        return self.host.view.backends.find("i-1").last_seen_s

    def test_a_backend_server_that_no_leader_lists_is_not_kept_in_use(self):
        """It may be gone: that it is not reported as overdue shows nothing."""
        for _ in range(3):
            self.host.sync_until_done()
        self.assertEqual(self.last_seen_s(), self.seen_s)

    def test_a_backend_server_is_kept_in_use_once_the_leader_lists_it(self):
        """It has announced itself to another host, or to this one."""
        self.host.sync_until_done()
        self.leader.view.backends.update(announcement(1), boot_clock_s())
        self.host.sync_until_done()
        self.assertGreater(self.last_seen_s(), self.seen_s)
        listed_s = self.last_seen_s()
        self.host.sync_until_done()
        self.assertGreater(self.last_seen_s(), listed_s)

    def test_a_backend_server_that_this_host_reported_is_kept_in_use(self):
        """The leader lists it from then on, and sends it to the other hosts only."""
        self.host.sync.announce(announcement(1), self.seen_s)
        self.host.sync_until_done()
        self.assertGreater(self.last_seen_s(), self.seen_s)

    def test_the_listing_of_an_earlier_leader_does_not_count(self):
        """The next one has not heard of the backend server."""
        self.leader.view.backends.update(announcement(1), self.seen_s)
        self.host.sync_until_done()
        for client in (self.leader.state_client, self.host.state_client):
            client.leader_id = "M/2"
        self.leader.view.backends = BackendTable()
        before_s = self.last_seen_s()
        self.host.sync_until_done()
        self.assertEqual(self.last_seen_s(), before_s)


class OddNoticeTests(unittest.TestCase):
    """One odd entry is left out; all others are exchanged."""

    def exchange(self, sender_table, leader, host):
        sender_table._store(Backend(announcement(1), boot_clock_s()))
        leader.leader_service._leader_id = "L/1"
        host.sync._outbox = dict(host.view.backends._backends)

        async def ask(request, timeout_s):
            call = FakeCall()
            read = decode_message(encode_message(request))
            await leader.leader_service.answer(read, call)
            return call.replies[0]

        host.state_client.ask_leader = ask
        asyncio.run(host.sync.sync_now())

    def test_an_odd_entry_of_the_leader_is_left_out_by_each_host(self):
        """The host follows the sound one and logs the other once."""
        for name, fields in {**ODD_FIELDS, **UNENCODABLE_FIELDS}.items():
            with self.subTest(name):
                leader = Host(1)
                odd = odd_announcement(2, fields)
                leader.view.backends._store(Backend(odd, boot_clock_s()))
                host = Host(2, leader)
                for _ in range(2):
                    self.exchange(leader.view.backends, leader, host)
                self.assertEqual(host.live_count(), 1)
                self.assertIsNone(host.view.backends.find(odd.instance_id))
                logged = [*leader.log.kinds, *host.log.kinds]
                self.assertEqual(logged.count("announcement_refused"), 1)

    def test_an_odd_entry_of_a_host_is_left_out_by_the_leader(self):
        """The leader learns of the sound one."""
        # The leader's first notices carry no adapters.
        adapter = {"adapter": {"resident": ("\ud800",)}}
        for name, fields in {**ODD_FIELDS, **UNENCODABLE_FIELDS, **adapter}.items():
            with self.subTest(name):
                leader = Host(1)
                host = Host(2, leader)
                odd = odd_announcement(2, fields)
                host.view.backends._store(Backend(odd, boot_clock_s()))
                self.exchange(host.view.backends, leader, host)
                self.assertEqual(leader.live_count(), 1)
                self.assertIsNone(leader.view.backends.find(odd.instance_id))
                logged = [*leader.log.kinds, *host.log.kinds]
                self.assertEqual(logged.count("announcement_refused"), 1)

    def test_a_notice_without_one_of_its_fields_is_left_out(self):
        """As of a release that has other fields."""
        for name in ("instance_id", "service_name", "address", "data_centre"):
            self.check_left_out(**{name: None})
        for name in ("state", "started_at_ms", "sequence", "slots"):
            self.check_left_out(**{name: None})

    def check_left_out(self, **fields):
        with self.subTest(fields):
            leader = Host(1)
            notice = to_notice(Backend(announcement(1), 1.0), 1.0)
            for name, value in fields.items():
                setattr(notice, name, value)
            request = SyncRequest("10.0.0.2:2", "", 0, [notice], [], 0.0)
            asyncio.run(leader.leader_service.answer(request, FakeCall()))
            self.assertEqual(leader.view.backends.revision, 0)
            self.assertEqual(leader.log.kinds.count("announcement_refused"), 1)

    def test_an_age_that_is_no_number_or_negative_keeps_no_entry_for_ever(self):
        """Nobody has seen the backend server later than now."""
        for age_s in (float("nan"), float("inf"), None, -1e12):
            with self.subTest(age_s):
                leader = Host(1)
                sound = Backend(announcement(1), boot_clock_s())
                notice = to_notice(sound, boot_clock_s())
                notice.age_s = age_s
                request = SyncRequest("10.0.0.2:2", "", 0, [notice], [], 0.0)
                asyncio.run(leader.leader_service.answer(request, FakeCall()))
                leader.view.backends.expire(boot_clock_s() + 120)
                self.assertIsNone(leader.view.backends.find("i-1"))

    def test_a_limit_that_is_incomplete_is_left_out(self):
        """The announcement that carries it is used."""
        for limit in (
            LimitNotice(None, None, None),
            LimitNotice(float("nan"), 1.0, 1.0),
            LimitNotice(1.0, float("nan"), 1.0),
            LimitNotice(1.0, 1.0, float("nan")),
        ):
            with self.subTest(limit):
                leader = Host(1)
                sound = Backend(announcement(1), boot_clock_s())
                notice = to_notice(sound, boot_clock_s())
                notice.limit = limit
                request = SyncRequest("10.0.0.2:2", "", 0, [notice], [], 0.0)
                asyncio.run(leader.leader_service.answer(request, FakeCall()))
                self.assertIsNone(leader.view.backends.find("i-1").limit_per_s())
                self.assertEqual(leader.log.kinds.count("limit_notice_invalid"), 1)
