"""Client of the replicated state: commits commands and follows applied state."""

import asyncio
import itertools
import zlib
from collections.abc import Collection, Sequence
from typing import Any

from damaskvalve_core import (
    ChannelError,
    DecisionLog,
    RetryLaterError,
    SettingsError,
    boot_clock_s,
)
from damaskvalve_core.messages import (
    Command,
    CommandResult,
    ConfirmRequest,
    DepartureRecord,
    DocumentRecord,
    EvacuationRecord,
    ProposeRequest,
    SuspectRecord,
)
from damaskvalve_core.rpc import RpcClient
from damaskvalve_gateway._cluster_view import ClusterView
from damaskvalve_gateway._confirmations import NO_VERSION
from damaskvalve_gateway._dialect import Dialect
from damaskvalve_gateway._quarantine import drop_cleared_runs, updated_statuses
from damaskvalve_gateway._settings import GatewaySettings
from damaskvalve_state import Group, GroupNode, NodeStatus

#: The name of the document that holds the gateway's configuration.
CONFIGURATION = "gateway"
#: The name of the document that lists the RPC addresses of the hosts, one a line.
HOSTS = "hosts"
# Clients of the control address try another host after one second.
COMMIT_TIMEOUT_S = 0.9
CONFIRM_TIMEOUT_S = 0.4
# Interval at which a read checks whether this host has caught up with the leader.
CATCH_UP_POLL_INTERVAL_S = 0.02


def _host_names(hosts: DocumentRecord) -> Sequence[str]:
    """Return the RPC addresses in the list of hosts."""
    names: list[str] = hosts.body.decode("ascii").split()
    return names


class StateClient:
    """Commits through the leader and keeps :class:`ClusterView` up to date."""

    def __init__(
        self,
        settings: GatewaySettings,
        group: Group,
        rpc_client: RpcClient,
        view: ClusterView,
        dialect: Dialect,
        log: DecisionLog,
    ) -> None:
        self._settings = settings
        self._group = group
        self._rpc_client = rpc_client
        self._view = view
        self._dialect = dialect
        self._log = log
        self._loop = asyncio.get_running_loop()
        # Version of the newest configuration that was applied, readable or not.
        self._configuration_version = NO_VERSION
        # The log index up to which this host has received the applied state, and the
        # version of the newest configuration there. Set inside the group actor.
        self._committed = -1, NO_VERSION
        # Version of the list of hosts; 0 if there is none.
        self._hosts_version = 0
        # Version of the list of hosts that the group actor knows; 0 if there is none.
        self._known_hosts_version = 0
        # Version of the suspects that the group actor passed on last; -1 before the
        # first.
        self._suspects_version = -1
        # The log index of the newest departure that the group actor passed on.
        self._departures_index = 0
        self.applied_index = 0

    def status(self) -> NodeStatus:
        """Return the latest status of this host in its group."""
        return self._group.status()

    def leads(self, now_s: float) -> bool:
        """Return whether this host leads under a valid lease, so that no other can."""
        status = self.status()
        return status.is_leader and now_s < status.lease_until_s

    def committed_version(self) -> int | None:
        """Return the version of the newest committed configuration, readable or not.

        None while this host has not received all that its group member has applied.
        """
        applied_index = self.status().applied_index
        index, version = self._committed
        return version if index >= applied_index else None

    def leader_address(self) -> str:
        """Return the RPC address of the leader; empty if none is known."""
        address = self.status().leader_address
        return self._settings.rpc_address(address) if address else ""

    def lenders(self) -> Sequence[str]:
        """Return the RPC addresses of the lenders, which are the voters."""
        voters = self.status().voter_addresses
        return [self._settings.rpc_address(address) for address in voters]

    # ---- applied state ----

    async def watch(self) -> None:
        """Subscribe to the applied state.

        The subscription is retried, because a member with a slow disk may not accept it
        at once.
        """

        def start(node: GroupNode, now_s: float) -> None:
            if self._on_applied not in node.apply_hooks:
                node.apply_hooks.append(self._on_applied)
            self._on_applied(node)

        while True:
            try:
                await self._group.run_async(start)
                return
            except RetryLaterError as error:
                self._log.line("state_unwatched", reason=str(error))

    def _on_applied(self, node: GroupNode) -> None:
        """Pass the applied state to the event loop; runs inside the group actor."""
        document = node.state_machine.documents.get(CONFIGURATION)
        hosts = node.state_machine.documents.get(HOSTS)
        versions = dict(node.state_machine.adapter_versions)
        if hosts is not None and hosts.version != self._known_hosts_version:
            self._known_hosts_version = hosts.version
            node.known_addresses = frozenset(
                self._settings.group_address_of(name) for name in _host_names(hosts)
            )
        version = NO_VERSION if document is None else document.version
        self._committed = node.applied_index, version
        self._loop.call_soon_threadsafe(
            self._apply_state, document, hosts, versions, node.applied_index
        )
        # Records of streams are many and looked up rarely, so they are not copied.
        self._view.stream_records = node.state_machine.streams
        self._view.base_versions = dict(node.state_machine.base_versions)
        self._pass_on_departures(node)
        self._pass_on_evacuations(node)
        if node.state_machine.suspects_version != self._suspects_version:
            self._suspects_version = node.state_machine.suspects_version
            suspects = dict(node.state_machine.suspects)
            self._loop.call_soon_threadsafe(self._apply_suspects, suspects)

    def _pass_on_departures(self, node: GroupNode) -> None:
        departures = node.state_machine.departures
        self._view.backends.departures = departures
        new = list(
            itertools.takewhile(
                lambda item: item.index > self._departures_index,
                reversed(departures.values()),
            )
        )
        if new:
            self._departures_index = new[0].index
            self._loop.call_soon_threadsafe(self._apply_departures, new)

    def _pass_on_evacuations(self, node: GroupNode) -> None:
        evacuations = self._view.backends.evacuations
        for data_centre in evacuations.apply(node.state_machine.evacuations):
            record = evacuations.newest(data_centre)
            if record is not None:
                self._loop.call_soon_threadsafe(self._log_evacuation, record)

    def _log_evacuation(self, record: EvacuationRecord) -> None:
        self._log.line(
            "evacuation_in_force" if record.in_force else "evacuation_withdrawn",
            data_centre=record.data_centre,
            actor=record.actor,
            ordered_at_s=round(record.ordered_at_s, 3),
            log_index=record.index,
        )

    def _apply_departures(self, records: Sequence[DepartureRecord]) -> None:
        for record in records:
            self._view.backends.apply_departure(record)

    def _apply_suspects(self, records: dict[str, SuspectRecord]) -> None:
        view = self._view
        now_s = boot_clock_s()
        if not self.leads(now_s):
            drop_cleared_runs(view.crashes, view.suspect_statuses, records)
        view.suspect_statuses = updated_statuses(view.suspect_statuses, records, now_s)

    def _apply_state(
        self, document: Any, hosts: Any, versions: dict[str, int], index: int
    ) -> None:
        self._view.adapter_versions = versions
        if hosts is not None and hosts.version > self._hosts_version:
            self._hosts_version = hosts.version
            self._view.registered_hosts = frozenset(_host_names(hosts))
        if document is not None and document.version > self._configuration_version:
            self._configuration_version = document.version
            self._apply_configuration(document.version, document.body, index)
        self.applied_index = index

    def _apply_configuration(self, version: int, body: bytes, index: int) -> None:
        text = zlib.decompress(body)
        try:
            configuration = self._dialect.read_configuration(text)
        except SettingsError as error:
            # Configurations are validated before the commit, so another release wrote
            # this one.
            self._log.line("configuration_unreadable", version=version, reason=error)
            return
        self._view.configuration = configuration
        self._view.backends.set_cold_rules(
            {
                name: item.cold
                for name, item in configuration.services.items()
                if item.cold is not None
            }
        )
        self._view.configuration_body = text
        self._view.confirmations.note_in_force(version)
        self._log.line(
            "configuration_in_force",
            version=version,
            bytes=len(text),
            leader=self.status().leader_id,
            log_index=index,
        )

    def newest_is_readable(self) -> bool:
        """Return whether the newest configuration that was applied is in force."""
        return self._view.confirmations.version_in_force == self._configuration_version

    # ---- calls and commits ----

    async def ask_leader(self, request: Any, timeout_s: float) -> Any:
        """Return the leader's reply; raise :class:`ChannelError` if none arrives."""
        address = self.leader_address()
        if not address:
            raise ChannelError("this host knows no leader")
        return await self._rpc_client.call(address, request, timeout_s)

    async def ask_host(self, address: str, request: Any, timeout_s: float) -> Any:
        """Return the reply of any host; raise :class:`ChannelError` if none arrives."""
        return await self._rpc_client.call(address, request, timeout_s)

    async def commit(self, command: Command) -> CommandResult:
        """Commit a command; on :class:`RetryLaterError` its outcome is unknown."""
        if self.leads(boot_clock_s()):
            result = await self._group.propose_async(command, COMMIT_TIMEOUT_S)
            if result is None:
                raise RetryLaterError("this host is no longer the leader")
            return result
        reply = await self.ask_leader(ProposeRequest(command), COMMIT_TIMEOUT_S)
        if not reply.done:
            raise RetryLaterError(reply.reason or "the outcome is unknown")
        result = reply.result
        return result

    async def register_hosts(self, hosts: Collection[str]) -> None:
        """Commit the list of hosts."""
        body = "\n".join(sorted(hosts)).encode("ascii")
        record = DocumentRecord(HOSTS, self._hosts_version + 1, body)
        await self.commit(Command(document=record))

    async def catch_up(self) -> None:
        """Wait until this host has applied everything committed before the call.

        Raise :class:`RetryLaterError` if no leader confirms the commit index or this
        host does not reach it in time.
        """
        now_s = boot_clock_s()
        leader_id = self.status().leader_id
        if self.leads(now_s):
            index = self.status().applied_index
        else:
            reply = await self.ask_leader(ConfirmRequest(""), CONFIRM_TIMEOUT_S)
            if not reply.confirmed:
                raise RetryLaterError("the leader could not confirm its commit index")
            index = reply.commit_index
        deadline_s = now_s + COMMIT_TIMEOUT_S
        while self.applied_index < index:
            if boot_clock_s() > deadline_s:
                raise RetryLaterError(
                    "this host has not caught up with the leader in time"
                )
            await asyncio.sleep(CATCH_UP_POLL_INTERVAL_S)
        self._view.confirmations.note(self._configuration_version, leader_id, now_s)
