"""How a process finds the leader."""

import unittest

from damaskvalve_core import (
    MAX_LEARNED_ADDRESSES,
    ChannelError,
    LeaderClient,
    RetryLaterError,
)


class Reply:
    def __init__(self, leader_address):
        self.leader_address = leader_address


class FakeDialer:
    """Connects to the running hosts, which all know the leader."""

    def __init__(self, running, leader):
        self.running = running
        self.leader = leader
        self.called = []

    def call(self, address, request, timeout_s):
        self.called.append(address)
        if address not in self.running:
            raise ChannelError(f"cannot connect to {address}")
        return Reply(self.leader)


class LeaderClientTests(unittest.TestCase):
    def test_a_learned_host_leads_to_the_leader_once_all_seeds_are_replaced(self):
        """The agent's settings name only hosts that are gone."""
        dialer = FakeDialer({"h4:1", "h5:1"}, "h5:1")
        client = LeaderClient(["h1:1", "h2:1", "h3:1"], dialer)
        with self.assertRaises(RetryLaterError):
            client.call("request", 1.0)
        client.learn("h4:1")
        self.assertEqual(client.call("request", 1.0).leader_address, "h5:1")
        self.assertEqual(dialer.called[-2:], ["h4:1", "h5:1"])

    def test_only_the_newest_learned_addresses_are_kept(self):
        """Others may have been replaced too; the configured ones stay."""
        dialer = FakeDialer((), "")
        client = LeaderClient(["h1:1"], dialer)
        for number in range(2 * MAX_LEARNED_ADDRESSES):
            client.learn(f"n{number}:1")
            client.learn("h1:1")
        with self.assertRaises(RetryLaterError):
            client.call("request", 1.0)
        newest = range(2 * MAX_LEARNED_ADDRESSES - 1, MAX_LEARNED_ADDRESSES - 1, -1)
        self.assertEqual(dialer.called, ["h1:1", *(f"n{item}:1" for item in newest)])
