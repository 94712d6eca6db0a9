"""A host's grants for limited backend servers, and the gate before each send."""

import asyncio
import unittest
from unittest import mock

from hypothesis import given, strategies as st

from damaskvalve_core import ChannelError, boot_clock_s
from damaskvalve_core.http import BackendPool
from damaskvalve_core.messages import SendGrant, SendGrantsReply
from damaskvalve_gateway._backend_attempt import ANSWERED, NOT_RUN
from damaskvalve_gateway._grant_replies import GrantReplies
from damaskvalve_gateway._grant_store import GRANT_LIFETIME_S, GrantStore
from damaskvalve_gateway._limit_statements import LimitStatement
from damaskvalve_gateway._send_gate import LEADER_BACKOFF_S
from damaskvalve_gateway.tests.attempt_fixtures import (
    OK,
    UNSAFE,
    ScriptedServer,
    backend_at,
    make_exchange,
    make_gate,
    run_attempt,
    write_once,
)

SERVER = ("i-1", 1)


def limited_backend(address="127.0.0.1:1", limit_per_s=1.0):
    backend = backend_at(address)
    backend.limit_statement = LimitStatement(limit_per_s, 0.0, 1.0)
    return backend


class Leader:
    """Grants a number of sends, then none; records the claims."""

    def __init__(self, count=0, wait_s=0.2, delay_s=0.0):
        self.count, self.wait_s, self.delay_s = count, wait_s, delay_s
        self.asks, self.returned, self.failure = [], [], None

    async def grant(self, asks, returned):
        self.asks.append(list(asks))
        self.returned += returned
        await asyncio.sleep(self.delay_s)
        if self.failure is not None:
            raise self.failure
        grants = []
        for ask in asks:
            granted = min(ask.wanted, self.count)
            self.count -= granted
            grants.append(SendGrant(granted, 0.0 if granted else self.wait_s))
        return SendGrantsReply("L", grants, 0.0)


class GrantStoreTests(unittest.TestCase):
    def test_a_grant_expires_from_when_it_was_asked_for(self):
        """A host that was suspended meanwhile does not use it."""
        store = GrantStore()
        store.add(SERVER, 1.0, 1, asked_s=10.0, now_s=10.1)
        self.assertIsNone(store.take(SERVER, 10.0 + GRANT_LIFETIME_S))
        store.add(SERVER, 1.0, 1, asked_s=20.0, now_s=20.1)
        self.assertEqual(store.take(SERVER, 20.2), 20.0 + GRANT_LIFETIME_S)
        self.assertIsNone(store.take(SERVER, 20.2))

    def test_grants_that_nobody_used_are_returned_once(self):
        """Expired ones, and those that arrived too late."""
        store = GrantStore()
        store.add(SERVER, 1.0, 2, asked_s=10.0, now_s=10.1)
        store.add(SERVER, 1.0, 3, asked_s=10.0, now_s=11.0)
        self.assertEqual(store.take_unused(10.2), {SERVER: 3})
        self.assertEqual(store.take_unused(11.0), {SERVER: 2})
        self.assertEqual(store.take_unused(12.0), {})

    def test_a_lower_limit_takes_back_what_was_granted_for_a_higher_one(self):
        """The grants go back to the leader."""
        store = GrantStore()
        store.add(SERVER, 100.0, 20, asked_s=10.0, now_s=10.0)
        store.set_limit(SERVER, 1.0)
        self.assertIsNone(store.take(SERVER, 10.1))
        self.assertEqual(store.take_unused(10.1), {SERVER: 20})

    @given(
        steps=st.lists(
            st.tuples(
                st.sampled_from(["add", "take", "put back", "unused"]),
                st.floats(0.0, 0.4),
                st.integers(1, 5),
            ),
            max_size=60,
        )
    )
    def test_no_grant_is_used_and_returned(self, steps):
        """In any order, each grant is used or returned at most once."""
        store, now_s, added, taken, returned = GrantStore(), 0.0, 0, [], 0
        for kind, for_s, count in steps:
            now_s += for_s
            if kind == "add":
                store.add(SERVER, 1.0, count, now_s - for_s, now_s)
                added += count
            elif kind == "take":
                expires_s = store.take(SERVER, now_s)
                if expires_s is not None:
                    self.assertLess(now_s, expires_s)
                    taken.append(expires_s)
            elif kind == "put back" and taken:
                store.put_back(SERVER, taken.pop(), now_s)
            else:
                returned += store.take_unused(now_s).get(SERVER, 0)
        returned += store.take_unused(now_s + 10.0).get(SERVER, 0)
        self.assertEqual(len(taken) + returned, added)

    def test_a_busy_host_asks_in_advance(self):
        """One grant at a time is enough for a quiet host."""
        store = GrantStore()
        self.assertEqual(store.wanted(SERVER, 0.0), 1)
        for step in range(1000):
            store.note_sent(SERVER, step * 0.005)
        self.assertGreater(store.wanted(SERVER, 5.0), 10)
        self.assertEqual(store.wanted(SERVER, 15.0), 1)


class GrantReplyTests(unittest.TestCase):
    def test_grants_of_a_lost_reply_come_back(self):
        """The next call says that the reply did not arrive."""
        replies = GrantReplies()
        self.assertEqual(replies.begin("p", 1, 0, 0.0), {})
        replies.note_granted("p", SERVER, 2)
        self.assertEqual(replies.begin("p", 2, 0, 0.1), {SERVER: 2})
        replies.note_granted("p", SERVER, 1)
        self.assertEqual(replies.begin("p", 3, 2, 0.2), {})

    def test_a_call_that_was_given_up_is_not_granted(self):
        """It arrives after a later call of the same process."""
        replies = GrantReplies()
        replies.begin("p", 2, 0, 0.0)
        self.assertIsNone(replies.begin("p", 1, 0, 0.1))

    def test_a_new_process_of_a_host_returns_nothing(self):
        """Its predecessor may have used what it was granted."""
        replies = GrantReplies()
        replies.begin("p", 9, 8, 0.0)
        replies.note_granted("p", SERVER, 2)
        self.assertEqual(replies.begin("q", 1, 0, 0.1), {})


class SendGateTests(unittest.IsolatedAsyncioTestCase):
    async def admitted(self, gate, backend):
        """Reserve a grant, spend it, and return whether the request may be sent."""
        async with gate.reserving(backend, make_exchange()) as grant:
            return grant is not None and grant.spend(boot_clock_s())

    async def test_a_server_without_a_limit_needs_no_grant(self):
        """The leader is not asked."""
        leader = Leader()
        gate = make_gate(leader.grant)
        self.assertTrue(await self.admitted(gate, backend_at("127.0.0.1:1")))
        self.assertEqual(leader.asks, [])

    async def test_each_send_needs_a_grant(self):
        """A refused claim is not repeated before the time that the leader named."""
        leader, backend = Leader(count=1), limited_backend()
        gate = make_gate(leader.grant)
        admitted = [await self.admitted(gate, backend) for _ in range(5)]
        self.assertEqual(admitted, [True, False, False, False, False])
        self.assertEqual(len(leader.asks), 2)
        self.assertGreater(backend.accepts_from_s(), boot_clock_s())
        leader.count = 1
        await asyncio.sleep(0.25)
        self.assertTrue(await self.admitted(gate, backend))

    async def test_a_grant_is_spent_once(self):
        """A second send on the same path needs another one."""
        gate, backend = make_gate(Leader(count=1).grant), limited_backend()
        async with gate.reserving(backend, make_exchange()) as grant:
            self.assertTrue(grant.spend(boot_clock_s()))
            self.assertFalse(grant.spend(boot_clock_s()))

    async def test_an_unused_grant_serves_the_next_request(self):
        """The first request ended before it was sent."""
        gate, backend = make_gate(Leader(count=1).grant), limited_backend()
        async with gate.reserving(backend, make_exchange()) as grant:
            self.assertIsNotNone(grant)
        self.assertTrue(await self.admitted(gate, backend))

    async def test_a_grant_that_expired_during_a_wait_is_renewed(self):
        """The wait for an agent may take longer than a grant lives."""
        leader, backend = Leader(count=1), limited_backend()
        gate, exchange = make_gate(leader.grant), make_exchange()
        async with gate.reserving(backend, exchange) as grant:
            await asyncio.sleep(GRANT_LIFETIME_S + 0.05)
            self.assertFalse(grant.spend(boot_clock_s()))
            self.assertFalse(await gate.renew(grant, backend, exchange))
            leader.count = 1
            await asyncio.sleep(0.25)
            self.assertTrue(await gate.renew(grant, backend, exchange))
            self.assertTrue(grant.spend(boot_clock_s()))

    async def test_a_limit_that_begins_after_the_choice_binds(self):
        """The request was chosen while the server had no limit."""
        leader, backend = Leader(), backend_at("127.0.0.1:1")
        gate = make_gate(leader.grant)
        async with gate.reserving(backend, make_exchange()) as grant:
            backend.limit_statement = LimitStatement(0.0, 0.0, 1.0)
            self.assertFalse(grant.spend(boot_clock_s()))

    async def test_claims_that_wait_together_take_one_call(self):
        """The claims of one workspace are one claim for several requests."""
        leader, backend = Leader(count=2, delay_s=0.05), limited_backend()
        gate = make_gate(leader.grant)
        first = asyncio.ensure_future(self.admitted(gate, backend))
        await asyncio.sleep(0.01)
        rest = [asyncio.ensure_future(self.admitted(gate, backend)) for _ in range(9)]
        admitted = await asyncio.gather(first, *rest)
        self.assertEqual(sum(admitted), 2)
        self.assertEqual([asks[0].wanted for asks in leader.asks], [1, 9])

    async def test_without_a_leader_nothing_is_sent(self):
        """Callers wait for one call, and others are refused at once meanwhile."""
        leader, backend = Leader(count=9, delay_s=0.05), limited_backend()
        leader.failure = ChannelError("no reply")
        gate = make_gate(leader.grant)
        self.assertFalse(await self.admitted(gate, backend))
        self.assertFalse(await self.admitted(gate, backend))
        self.assertEqual(len(leader.asks), 1)
        # Callers are told to come back when another host has been elected.
        self.assertGreater(backend.accepts_from_s(), boot_clock_s() + 0.5)
        leader.failure = None
        await asyncio.sleep(LEADER_BACKOFF_S + 0.01)
        self.assertTrue(await self.admitted(gate, backend))

    async def test_a_caller_that_leaves_strands_no_grant(self):
        """It leaves while the leader is asked, or right after it has granted."""
        leader, backend = Leader(count=1, delay_s=0.05), limited_backend()
        gate = make_gate(leader.grant)
        task = asyncio.ensure_future(self.admitted(gate, backend))
        await asyncio.sleep(0.02)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0.06)
        self.assertTrue(await self.admitted(gate, backend))
        self.assertEqual(len(leader.asks), 1)

    async def test_an_attempt_without_a_grant_sends_nothing(self):
        """Not even over a connection that is being opened; nothing has run."""
        server = ScriptedServer(write_once(OK + b"content-length: 0\r\n\r\n"))
        pool, may_send = BackendPool(), mock.Mock(side_effect=[False, True])
        for outcome, sends in ((NOT_RUN, 0), (ANSWERED, 1)):
            exchange = make_exchange(kind=UNSAFE)
            result, _, _ = await run_attempt(
                server, exchange, within_s=2.0, pool=pool, may_send=may_send
            )
            self.assertEqual((result, exchange.runs), (outcome, sends))
            self.assertEqual((server.requests, exchange.attempts), (sends, sends))
