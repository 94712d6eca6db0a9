"""A simulation of engines, weight store and callers in virtual time.

Each replica is one backend server: an agent's scheduler with a simulated engine.
"""

import heapq
import random
from collections.abc import Callable, Sequence

from damaskvalve import Placement
from damaskvalve_agent import (
    FairQueue,
    RejectRequest,
    RequestLoadPermit,
    Scheduler,
    SchedulerLimits,
    Slots,
    StartRequest,
    Ticket,
)
from damaskvalve_core.messages import BackendReport
from damaskvalve_state import LoadBudget, LoadLimit, LoadRequest

# The time of one output token without other running requests.
STEP_TIME_S = 0.02
# The fraction by which each running request lengthens a step.
STEP_SLOWDOWN_PER_REQUEST = 0.01
LOAD_TIME_S = 0.25
REPORT_INTERVAL_S = 0.5
PERMIT_WAIT_S = 2.0
GRANT_INTERVAL_S = 0.05
MAX_RUNNING = 8
DEADLINE_S = 30.0
MAX_DEBT_UNITS = 600.0

#: Returns the name of the backend server for an adapter, or None to refuse the request.
Router = Callable[["Simulation", str], str | None]


class Deployment:
    """The size and load of one user's fleet.

    A request costs one unit if ``by_requests``, and otherwise its number of tokens.
    """

    def __init__(
        self,
        name: str,
        replicas: int,
        rate_loads_per_s: float,
        requests_per_s: float,
        *,
        by_requests: bool,
    ) -> None:
        self.name = name
        self.replicas = replicas
        self.rate_loads_per_s = rate_loads_per_s
        self.requests_per_s = requests_per_s
        self.by_requests = by_requests


class Policy:
    """A choice of routing, adapter eviction and fairness between workspaces."""

    def __init__(
        self, name: str, router: Router, *, lru: bool, fair: bool, fleet_fair: bool
    ) -> None:
        self.name = name
        self.router = router
        self.lru = lru
        self.fair = fair
        self.fleet_fair = fleet_fair


class LruSlots(Slots):
    """Slots that evict the least recently used adapter."""

    def use_value(self, adapter: str, now_s: float) -> float:
        use = self._uses.get(adapter)
        return use.at_s if use else -1.0


class Arrival:
    """A request and the time of its arrival."""

    __slots__ = ("at_s", "workspace", "adapter", "tokens")

    def __init__(self, at_s: float, workspace: str, adapter: str, tokens: int) -> None:
        self.at_s = at_s
        self.workspace = workspace
        self.adapter = adapter
        self.tokens = tokens


class SimulationResult:
    """Counts and times of one run.

    ``delivered`` and ``demanded`` are cost units by workspace. ``stall_s`` is the total
    time that the ``stalled`` requests waited for their adapter. ``busy_s`` is the total
    time in which engines ran requests, ``running_s`` the total time of these requests.
    """

    def __init__(self) -> None:
        self.requests = 0
        self.refused = 0
        self.stall_s = 0.0
        self.stalled = 0
        self.latencies_s: list[float] = []
        self.delivered: dict[str, float] = {}
        self.demanded: dict[str, float] = {}
        self.busy_s = 0.0
        self.running_s = 0.0
        self.loads = 0
        self.latencies_by_workspace_s: dict[str, list[float]] = {}


class Agent:
    """A scheduler and its simulated engine."""

    def __init__(
        self, name: str, policy: Policy, slots: int, rng: random.Random
    ) -> None:
        self.name = name
        self.scheduler = Scheduler(
            FairQueue(256, MAX_DEBT_UNITS if policy.fair else 1e12),
            (LruSlots if policy.lru else Slots)(slots),
            SchedulerLimits(MAX_RUNNING, 2),
            rng.random,
        )
        self.is_alive = True
        # Counts the restarts of the engine; callbacks of an older epoch do nothing.
        self.epoch = 0
        # Cost units by workspace.
        self.served: dict[str, float] = {}
        # Cost units of other agents already charged here, by "agent/workspace".
        self.charged_service: dict[str, float] = {}
        self.batch_changed_at_s = 0.0
        self.loaded_at_s: dict[str, float] = {}


class Simulation:
    """Processes arrivals under one policy in virtual time."""

    def __init__(
        self, deployment: Deployment, policy: Policy, slots: int, seed: int
    ) -> None:
        self.rng = random.Random(seed)
        self.deployment = deployment
        self.policy = policy
        self.now_s = 0.0
        self.result = SimulationResult()
        self.agents = {
            f"e{n}": Agent(f"e{n}", policy, slots, self.rng)
            for n in range(deployment.replicas)
        }
        self.reports: dict[str, BackendReport] = {}
        self.in_flight: dict[str, int] = dict.fromkeys(self.agents, 0)
        # The fraction of loads that fail.
        self.load_failure_rate = 0.0
        rate = deployment.rate_loads_per_s
        # Starts 10 s early: the permits that a new budget assumes to be in flight have
        # expired, and its burst is refilled.
        self.budget = LoadBudget(LoadLimit(rate, rate, 8), 1, -10.0)
        self.placement = Placement([], "dc")
        self._loading = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._arrivals: dict[str, Arrival] = {}

    # ---- virtual time ----

    def schedule(self, time_s: float, callback: Callable[[], None]) -> None:
        """Schedule ``callback`` to run at ``time_s``."""
        self._event_count += 1
        heapq.heappush(self._events, (time_s, self._event_count, callback))

    def run(self, arrivals: Sequence[Arrival], until_s: float) -> SimulationResult:
        """Process all arrivals until a time and return the result."""
        for arrival in arrivals:
            self.schedule(arrival.at_s, lambda item=arrival: self.route_request(item))
        self._publish_reports()
        self._grant_periodically()
        while self._events:
            time_s, _, callback = heapq.heappop(self._events)
            if time_s > until_s:
                break
            self.now_s = time_s
            callback()
        return self.result

    # ---- requests ----

    def route_request(self, arrival: Arrival, resends: int = 0) -> None:
        """Route one request to an agent and queue it there, or count it as refused."""
        result = self.result
        units = 1.0 if self.deployment.by_requests else float(arrival.tokens)
        if resends == 0:
            result.requests += 1
            demanded = result.demanded.get(arrival.workspace, 0.0)
            result.demanded[arrival.workspace] = demanded + units
        name = self.policy.router(self, arrival.adapter)
        if name is None or not self.agents[name].is_alive:
            result.refused += 1
            return
        agent = self.agents[name]
        self._event_count += 1
        ticket = Ticket(
            f"r{self._event_count}",
            arrival.workspace if self.policy.fair else "all",
            1.0,
            arrival.adapter,
            units,
            arrival.at_s + DEADLINE_S,
            self.now_s,
        )
        refused = agent.scheduler.submit(ticket, self.now_s)
        if refused is not None:
            result.refused += 1
            return
        self._arrivals[ticket.request_id] = arrival
        self.in_flight[name] += 1
        self.decide(agent)

    def decide(self, agent: Agent) -> None:
        """Perform the actions that an agent's scheduler decides."""
        self._record_batch(agent)
        for action in agent.scheduler.decide(self.now_s):
            if isinstance(action, StartRequest):
                self._start(agent, action.ticket)
            elif isinstance(action, RequestLoadPermit):
                self._request_permit(agent, action)
            elif isinstance(action, RejectRequest):
                self.result.refused += 1
                self.in_flight[agent.name] -= 1
                if agent.scheduler.slots.state(action.ticket.adapter) != "resident":
                    self._record_stall(self.now_s - action.ticket.arrived_at_s)

    def _record_stall(self, waited_s: float) -> None:
        """Record how long a request waited until its adapter was resident.

        A time of zero or less means that the request did not wait.
        """
        if waited_s > 0:
            self.result.stalled += 1
            self.result.stall_s += waited_s

    def _record_batch(self, agent: Agent) -> None:
        """Add the time since the last change of an agent's batch to the result."""
        running = len(agent.scheduler.running)
        interval_s = self.now_s - agent.batch_changed_at_s
        if running:
            self.result.busy_s += interval_s
            self.result.running_s += running * interval_s
        agent.batch_changed_at_s = self.now_s

    def _start(self, agent: Agent, ticket: Ticket) -> None:
        arrival = self._arrivals[ticket.request_id]
        loaded_at_s = agent.loaded_at_s.get(ticket.adapter, 0.0)
        self._record_stall(loaded_at_s - ticket.arrived_at_s)
        batch = len(agent.scheduler.running)
        took_s = arrival.tokens * STEP_TIME_S * (1 + STEP_SLOWDOWN_PER_REQUEST * batch)
        epoch = agent.epoch
        self.schedule(self.now_s + took_s, lambda: self._finish(agent, ticket, epoch))

    def _finish(self, agent: Agent, ticket: Ticket, epoch: int) -> None:
        if agent.epoch != epoch:
            return
        arrival = self._arrivals.pop(ticket.request_id)
        self._record_batch(agent)
        agent.scheduler.finish(ticket, delivered=True)
        self.in_flight[agent.name] -= 1
        name = arrival.workspace
        result = self.result
        took_s = self.now_s - arrival.at_s
        result.latencies_s.append(took_s)
        result.latencies_by_workspace_s.setdefault(name, []).append(took_s)
        result.delivered[name] = result.delivered.get(name, 0.0) + ticket.cost_units
        agent.served[name] = agent.served.get(name, 0.0) + ticket.cost_units
        self.decide(agent)

    # ---- loads ----

    def _request_permit(self, agent: Agent, action: RequestLoadPermit) -> None:
        epoch = agent.epoch
        reply_handle = (agent, action.adapter, epoch)
        expires_at_s = self.now_s + PERMIT_WAIT_S
        self.budget.enqueue(
            LoadRequest(
                agent.name,
                action.adapter,
                action.workspace,
                action.share,
                0,
                action.waiting_since_s,
                expires_at_s,
                reply_handle,
            )
        )
        self._grant()
        self.schedule(expires_at_s, self._grant)

    def _grant_periodically(self) -> None:
        self._grant()
        self.schedule(self.now_s + GRANT_INTERVAL_S, self._grant_periodically)

    def _grant(self) -> None:
        for decision in self.budget.decide(self.now_s):
            agent, adapter, epoch = decision.request.reply_handle  # type: ignore[misc]
            if agent.epoch != epoch:
                continue
            if decision.permit_id is None:
                agent.scheduler.permit_refused(adapter)
                self.decide(agent)
            else:
                self._load(agent, adapter, decision.permit_id)

    def _load(self, agent: Agent, adapter: str, permit_id: str) -> None:
        load = agent.scheduler.begin_load(adapter, self.now_s)
        if load is None:
            self.budget.finish(permit_id)
            self.decide(agent)
            return
        self._loading += 1
        self.result.loads += 1
        epoch = agent.epoch
        # More than eight loads at once slow each other down.
        took_s = LOAD_TIME_S * max(1.0, self._loading / 8)
        loaded = self.rng.random() >= self.load_failure_rate

        def end() -> None:
            self._loading -= 1
            self.budget.finish(permit_id)
            if agent.epoch == epoch:
                if loaded:
                    agent.loaded_at_s[adapter] = self.now_s
                agent.scheduler.end_load(adapter, loaded=loaded, now_s=self.now_s)
                self.decide(agent)

        self.schedule(self.now_s + took_s, end)

    # ---- reports and faults ----

    def _publish_reports(self) -> None:
        for agent in self.agents.values():
            if not agent.is_alive:
                self.reports.pop(agent.name, None)
                continue
            scheduler = agent.scheduler
            assert scheduler.slots is not None
            self.reports[agent.name] = BackendReport(
                backend_server=agent.name,
                data_centre="dc",
                queued=len(scheduler.queue),
                running=len(scheduler.running),
                max_running=MAX_RUNNING,
                resident=list(scheduler.slots.resident()),
            )
            if self.policy.fleet_fair:
                self._charge_service_of_others(agent)
            self.decide(agent)
        self.placement = Placement(list(self.reports.values()), "dc")
        self.schedule(self.now_s + REPORT_INTERVAL_S, self._publish_reports)

    def _charge_service_of_others(self, agent: Agent) -> None:
        for other in self.agents.values():
            if other is agent:
                continue
            for name, units in other.served.items():
                key = f"{other.name}/{name}"
                new_units = units - agent.charged_service.get(key, 0.0)
                if new_units > 0:
                    agent.charged_service[key] = units
                    agent.scheduler.queue.charge(name, new_units, 1.0)

    def restart(self, name: str) -> None:
        """Restart an engine without adapters and resend the requests that it ran."""
        agent = self.agents[name]
        self._record_batch(agent)
        interrupted = list(agent.scheduler.running.values())
        agent.scheduler.engine_restarted()
        agent.epoch += 1
        for ticket in interrupted:
            agent.scheduler.finish(ticket, delivered=False)
            self.in_flight[name] -= 1
            self.route_request(self._arrivals.pop(ticket.request_id), resends=1)

    def remove_replica(self, name: str) -> None:
        """Remove a replica and resend its requests to other replicas."""
        agent = self.agents[name]
        agent.is_alive = False
        self.reports.pop(name, None)
        self.placement = Placement(list(self.reports.values()), "dc")
        waiting = list(agent.scheduler.queue)
        for ticket in waiting:
            agent.scheduler.cancel(ticket)
            self.in_flight[name] -= 1
            self.route_request(self._arrivals.pop(ticket.request_id), resends=1)
        self.restart(name)
