"""Backend servers that leave or are gone, across the loss of the hosts that know it."""

import types
import unittest
from unittest import mock

from damaskvalve_core import RetryLaterError, encode_struct
from damaskvalve_core.messages import Command, DepartureRecord
from damaskvalve_gateway._backends import BackendTable
from damaskvalve_gateway._control_service import ControlService
from damaskvalve_gateway._model import GONE, LEAVING, READY, Announcement
from damaskvalve_gateway._state_client import StateClient
from damaskvalve_gateway.tests.test_sync import Host
from damaskvalve_state import StateMachine

STARTED_AT_MS = 5_000


def announcement(state=READY, *, sequence=1, started_at_ms=STARTED_AT_MS):
    return Announcement(
        "i-1", "svc", "10.1.0.1:80", "a", state, started_at_ms, sequence, 4, ()
    )


class Group:
    """Applies the commands that hosts commit; it outlives each of them."""

    def __init__(self):
        self.machine = StateMachine()
        self.index = 0
        self.fails = False

    async def commit(self, command):
        if self.fails:
            raise RetryLaterError("there is no leader")
        self.index += 1
        return self.machine.apply(self.index, encode_struct(command))

    def control(self, host):
        """Return the control service of a host."""
        host.state_client.commit = self.commit
        return ControlService(
            mock.Mock(), host.state_client, host.sync, host.view, host.log
        )

    def apply_at(self, host):
        """Pass the committed state to a host, as after any commit or start."""
        group = mock.Mock()
        group.status.return_value.is_leader = False
        client = StateClient(
            mock.Mock(), group, mock.Mock(), host.view, mock.Mock(), host.log
        )
        client._loop = types.SimpleNamespace(
            call_soon_threadsafe=lambda function, *arguments: function(*arguments)
        )
        client._on_applied(
            types.SimpleNamespace(state_machine=self.machine, applied_index=self.index)
        )


class AcknowledgedDepartureTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.group = Group()
        self.leader = Host(1)
        self.other = Host(2, self.leader)
        for host in (self.leader, self.other):
            host.view.backends.update(announcement(), 0.0)

    def state_at(self, host):
        return host.view.backends.find("i-1").announcement.state

    async def test_a_removal_outlives_the_leader_that_acknowledged_it(self):
        """Hosts that have not called this leader since obey it."""
        await self.group.control(self.leader).remove_backend("i-1")
        self.group.apply_at(self.other)
        self.assertEqual(self.state_at(self.other), GONE)

    async def test_a_removal_outlives_all_hosts_that_know_it(self):
        """A host that starts again does not use a late announcement."""
        await self.group.control(self.leader).remove_backend("i-1")
        self.group.machine = StateMachine.from_bytes(self.group.machine.to_bytes())
        restarted = Host(3)
        self.group.apply_at(restarted)
        restarted.view.backends.update(announcement(sequence=9), 0.0)
        self.assertEqual(self.state_at(restarted), GONE)
        restarted.view.backends.update(announcement(started_at_ms=6_000), 0.0)
        self.assertEqual(self.state_at(restarted), READY)

    async def test_an_announced_departure_is_committed_once(self):
        """The backend server repeats the announcement until it ends."""
        control = self.group.control(self.leader)
        for sequence in (2, 3, 4):
            await control.announce(announcement(LEAVING, sequence=sequence))
            self.group.apply_at(self.leader)
        self.assertEqual(self.group.index, 1)
        self.group.apply_at(self.other)
        self.assertEqual(self.state_at(self.other), LEAVING)
        await control.remove_backend("i-1")
        self.group.apply_at(self.other)
        self.assertEqual(self.state_at(self.other), GONE)

    async def test_a_departure_that_is_not_committed_is_not_acknowledged(self):
        """Another host may be able to commit it."""
        self.group.fails = True
        control = self.group.control(self.leader)
        with self.assertRaises(RetryLaterError):
            await control.remove_backend("i-1")
        with self.assertRaises(RetryLaterError):
            await control.announce(announcement(LEAVING, sequence=2))

    async def test_a_host_that_does_not_know_a_backend_server_asks_the_leader(self):
        """Only the leader knows which incarnation is gone."""
        restarted = Host(3, self.leader)
        self.leader.leader_service._reset_if_elected(0.0)
        await self.group.control(restarted).remove_backend("i-1")
        record = self.group.machine.departures["i-1"]
        self.assertEqual((record.started_at_ms, record.gone), (STARTED_AT_MS, True))


class DepartureTests(unittest.TestCase):
    def test_departures_of_older_incarnations_change_nothing(self):
        """They arrive late."""
        machine = StateMachine()
        for index, (started_at_ms, gone) in enumerate(
            [(5, False), (5, True), (5, False), (4, True), (6, False), (5, True)], 1
        ):
            record = DepartureRecord("i-1", started_at_ms, gone, 0)
            machine.apply(index, encode_struct(Command(departure=record)))
        record = machine.departures["i-1"]
        self.assertEqual((record.started_at_ms, record.gone, record.index), (6, 0, 5))

    def test_a_committed_departure_applies_to_the_incarnation_that_it_names(self):
        """A newer one under the same id stays in use."""
        table = BackendTable()
        table.update(announcement(), 0.0)
        table.apply_departure(DepartureRecord("i-1", STARTED_AT_MS - 1, True, 1))
        self.assertEqual(table.find("i-1").announcement.state, READY)


if __name__ == "__main__":
    unittest.main()
