"""Weighted fair queue: waiting requests, ordered so that workspaces share service.

Each workspace has a virtual time: the service that it received, divided by its share.
The request of the workspace with the lowest virtual time is next. A request whose
adapter is resident may overtake it, as long as its workspace is at most
``max_debt_units`` of service ahead of the lowest one.
"""

from collections import deque
from collections.abc import Iterator, Mapping


class Ticket:
    """One waiting or running request; its ``adapter`` is empty for the base model."""

    __slots__ = (
        "request_id",
        "workspace",
        "share",
        "adapter",
        "cost_units",
        "deferred",
        "deadline_s",
        "arrived_at_s",
        "isolated",
        "load_wait_started_at_s",
    )

    def __init__(
        self,
        request_id: str,
        workspace: str,
        share: float,
        adapter: str,
        cost_units: float,
        deadline_s: float,
        arrived_at_s: float,
        *,
        deferred: bool = False,
        isolated: bool = False,
    ) -> None:
        if share <= 0:
            raise ValueError("share must be positive")
        self.request_id = request_id
        self.workspace = workspace
        self.share = share
        self.adapter = adapter
        self.cost_units = cost_units
        self.deadline_s = deadline_s
        self.arrived_at_s = arrived_at_s
        self.deferred = deferred
        self.isolated = isolated
        # When a load permit was requested for this request, or when the request began
        # to wait for a load that was already running; None if neither has happened.
        self.load_wait_started_at_s: float | None = None


class _WorkspaceQueue:
    """The waiting requests of one workspace."""

    __slots__ = ("interactive", "deferred")

    def __init__(self) -> None:
        self.interactive: deque[Ticket] = deque()
        self.deferred: deque[Ticket] = deque()

    def __len__(self) -> int:
        return len(self.interactive) + len(self.deferred)

    def __iter__(self) -> Iterator[Ticket]:
        yield from self.interactive
        yield from self.deferred

    def add(self, ticket: Ticket) -> None:
        (self.deferred if ticket.deferred else self.interactive).append(ticket)

    def remove(self, ticket: Ticket) -> None:
        (self.deferred if ticket.deferred else self.interactive).remove(ticket)


class FairQueue:
    """Bounded queue over workspaces; the module docstring describes its order."""

    def __init__(self, max_waiting: int, max_debt_units: float) -> None:
        self.max_waiting = max_waiting
        self.max_debt_units = max_debt_units
        self._workspace_queues: dict[str, _WorkspaceQueue] = {}
        self._virtual_time: dict[str, float] = {}
        self._virtual_time_floor = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[Ticket]:
        for queue in self._workspace_queues.values():
            yield from queue

    def is_full(self, workspace: str) -> bool:
        """Return whether a workspace may not add another request.

        A queue with ``max_waiting`` requests still accepts requests of a workspace that
        has less than an equal part of it, so that one workspace cannot block the
        others. The hard limit is twice ``max_waiting``.
        """
        if self._count >= 2 * self.max_waiting:
            return True
        if self._count < self.max_waiting:
            return False
        waiting = len(self._workspace_queues.get(workspace, ()))
        return waiting >= self.max_waiting / (len(self._workspace_queues) + 1)

    def add(self, ticket: Ticket) -> None:
        """Add a request; a workspace gets no credit for the time that it was idle."""
        queue = self._workspace_queues.get(ticket.workspace)
        if queue is None:
            queue = self._workspace_queues[ticket.workspace] = _WorkspaceQueue()
            time = self._virtual_time.get(ticket.workspace, 0.0)
            self._virtual_time[ticket.workspace] = max(time, self._virtual_time_floor)
        queue.add(ticket)
        self._count += 1

    def remove(self, ticket: Ticket) -> bool:
        """Remove a request; return False if it is not in the queue."""
        queue = self._workspace_queues.get(ticket.workspace)
        if queue is None or ticket not in queue:
            return False
        queue.remove(ticket)
        self._count -= 1
        if not queue:
            del self._workspace_queues[ticket.workspace]
        return True

    def charge(self, workspace: str, units: float, share: float) -> None:
        """Count service that a workspace received here or elsewhere in the fleet."""
        time = max(self._virtual_time.get(workspace, 0.0), self._virtual_time_floor)
        self._virtual_time[workspace] = time + units / share

    def refund(self, workspace: str, units: float, share: float) -> None:
        """Subtract service that was counted but not delivered."""
        if workspace in self._virtual_time:
            self._virtual_time[workspace] -= units / share

    def ordered(self) -> Iterator[Ticket]:
        """Yield the waiting requests in order.

        Interactive requests come before deferred ones, and within each the workspaces
        with the lowest virtual time first.
        """
        workspaces = sorted(self._workspace_queues, key=self._sort_key)
        for deferred in (False, True):
            for workspace in workspaces:
                queue = self._workspace_queues[workspace]
                yield from (queue.deferred if deferred else queue.interactive)

    def min_virtual_time(self) -> float | None:
        """Return the lowest virtual time of the waiting workspaces, or None.

        This is also the new lower bound for workspaces that start to wait.
        """
        times = [self._virtual_time[name] for name in self._workspace_queues]
        if not times:
            return None
        self._virtual_time_floor = max(self._virtual_time_floor, min(times))
        return min(times)

    def may_overtake(self, ticket: Ticket) -> bool:
        """Return whether a ready request may overtake the one that is next."""
        min_virtual_time = self.min_virtual_time()
        if min_virtual_time is None:
            return True
        ahead = self._virtual_time[ticket.workspace] - min_virtual_time
        return ahead * ticket.share <= self.max_debt_units

    def virtual_times(self) -> Mapping[str, float]:
        """Return the virtual time of each workspace."""
        return self._virtual_time

    def _sort_key(self, workspace: str) -> tuple[float, str]:
        return self._virtual_time[workspace], workspace
