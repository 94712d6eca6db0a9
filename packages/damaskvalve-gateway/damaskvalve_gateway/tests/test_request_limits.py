"""Hosts keep the limits of a backend server under faults, in simulated time."""

import asyncio
import unittest

from damaskvalve_gateway.tests.limit_rule import SETTLE_S, allowed_requests
from damaskvalve_gateway.tests.limit_simulation import Simulation


class RequestLimitTests(unittest.TestCase):
    def assert_kept(self, simulation, limit_per_s, *, excuse_s=None):
        """Check the arrivals from when the limit binds."""
        from_s = simulation.first_stated_s + SETTLE_S
        most = simulation.most_in_window(from_s, excuse_s=excuse_s)
        self.assertLessEqual(most, allowed_requests(limit_per_s))

    def test_a_limit_holds_for_the_sum_of_all_hosts(self):
        """Also below one request a host; none of the hosts is excused."""
        for hosts in (3, 12, 40):
            for limit_per_s in (0.0, 0.1, 1.0, 2.5, 10.0):
                simulation = Simulation(hosts, hosts=hosts, loss=0.01)

                async def scenario(simulation):
                    simulation.stated_limit = limit_per_s
                    await asyncio.sleep(20.0)

                simulation.run(scenario)
                with self.subTest(hosts=hosts, limit_per_s=limit_per_s):
                    self.assert_kept(simulation, limit_per_s)

    def test_nearly_all_of_a_limit_is_used(self):
        """Demand is skewed, and a leader is elected in the middle."""
        for limit_per_s in (2.0, 10.0):
            simulation = Simulation(1, hosts=12)

            async def scenario(simulation):
                simulation.stated_limit = limit_per_s
                await asyncio.sleep(30.0)
                await simulation.change_leader()
                await asyncio.sleep(30.0)

            simulation.run(scenario)
            from_s = simulation.first_stated_s + SETTLE_S
            used = sum(item.at_s >= from_s for item in simulation.arrivals)
            length_s = simulation.loop.time() - from_s
            with self.subTest(limit_per_s=limit_per_s):
                self.assertGreaterEqual(used, 0.95 * limit_per_s * length_s)
                self.assert_kept(simulation, limit_per_s)

    def test_a_limit_holds_through_faults_of_hosts(self):
        """Suspensions, cuts, kills and elections, the leader's among them.

        Hosts are excused only for their own faults, as the users' rule does.
        """
        for seed in range(40):
            simulation = Simulation(seed, hosts=(3, 5, 9)[seed % 3], loss=0.02)
            limit_per_s = (0.0, 1.0, 2.5, 10.0)[seed % 4]

            async def scenario(simulation):
                simulation.stated_limit = limit_per_s
                await asyncio.sleep(2.0)
                for _ in range(6):
                    rng = simulation.rng
                    host = rng.choice(simulation.hosts)
                    if rng.random() < 0.4 and simulation.leader is not None:
                        host = simulation.leader
                    kind = rng.choice(("suspend", "cut", "restart", "elect"))
                    if kind == "suspend":
                        await simulation.suspend(host, rng.uniform(0.2, 4.0))
                    elif kind == "cut":
                        await simulation.cut_off(host, rng.uniform(0.3, 4.0))
                    elif kind == "restart":
                        await simulation.restart(host)
                    else:
                        await simulation.change_leader(rng.uniform(0.0, 1.5))
                    await asyncio.sleep(rng.uniform(0.0, 2.0))

            simulation.run(scenario)
            with self.subTest(seed=seed, limit_per_s=limit_per_s):
                self.assert_kept(simulation, limit_per_s, excuse_s=SETTLE_S)

    def test_a_limit_that_ends_is_over_at_every_host_within_seconds(self):
        """Replies from before its end do not bring it back."""
        for seed in range(10):
            simulation = Simulation(seed, hosts=5)

            async def scenario(simulation):
                simulation.stated_limit = (0.0, 1.0, 5.0)[seed % 3]
                await asyncio.sleep(8.0)
                simulation.stated_limit = None
                await asyncio.sleep(6.0)
                self.left = [host.backend().limit_per_s() for host in simulation.hosts]
                self.ended_s = simulation.loop.time()
                await asyncio.sleep(5.0)

            simulation.run(scenario)
            served = sum(item.at_s >= self.ended_s for item in simulation.arrivals)
            with self.subTest(seed=seed):
                self.assertEqual(self.left, [None] * 5)
                self.assertGreater(served, 0.8 * 40.0 * 5.0)

    def test_a_limit_that_changes_binds_soon(self):
        """A lower value holds from when the replies state it, a higher one is used."""
        simulation = Simulation(3, hosts=5)

        async def scenario(simulation):
            simulation.stated_limit = 20.0
            await asyncio.sleep(10.0)
            simulation.stated_limit = 1.0
            await asyncio.sleep(1.0)
            self.lowered_s = simulation.loop.time()
            await asyncio.sleep(10.0)
            simulation.stated_limit = 10.0
            await asyncio.sleep(2.0)
            self.raised_s = simulation.loop.time()
            await asyncio.sleep(8.0)

        simulation.run(scenario)
        lowered = [
            item
            for item in simulation.arrivals
            if self.lowered_s <= item.at_s < self.lowered_s + 10.0
        ]
        self.assertLessEqual(len(lowered), 1.0 * 10.0 + 5)
        raised = sum(item.at_s >= self.raised_s for item in simulation.arrivals)
        self.assertGreaterEqual(raised, 0.9 * 10.0 * 8.0)

    def test_a_restarted_fleet_learns_a_limit_from_its_first_replies(self):
        """All hosts lose their state at once."""
        simulation = Simulation(5, hosts=5)

        async def scenario(simulation):
            simulation.stated_limit = 1.0
            await asyncio.sleep(6.0)
            for host in list(simulation.hosts):
                await simulation.restart(host)
            await asyncio.sleep(2.0)
            self.restarted_s = simulation.loop.time()
            await asyncio.sleep(10.0)

        simulation.run(scenario)
        most = simulation.most_in_window(self.restarted_s)
        self.assertLessEqual(most, allowed_requests(1.0))
