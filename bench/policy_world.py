"""Fakes at the interfaces of the decisions: engines, store, clock and callers."""

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

STEP_S = 0.02
BATCH_COST = 0.01
LOAD_S = 0.25
REPORT_S = 0.5
PERMIT_WAIT_S = 2.0
GRANT_S = 0.05
MAX_RUNNING = 8
DEADLINE_S = 30.0
DEBT_UNITS = 600.0

#: Chooses the backend server for an adapter, by name, or None.
Router = Callable[["World", str], str | None]


class Deployment:
    """The sizes of one user's fleet."""

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
    """How requests are routed, slots freed and workspaces served."""

    def __init__(
        self, name: str, router: Router, *, lru: bool, fair: bool, fleet_fair: bool
    ) -> None:
        self.name = name
        self.router = router
        self.lru = lru
        self.fair = fair
        self.fleet_fair = fleet_fair


class LruSlots(Slots):
    """Evicts the adapter whose last use is the longest ago."""

    def use_value(self, adapter: str, now_s: float) -> float:
        use = self._uses.get(adapter)
        return use.at_s if use else -1.0


class Arrival:
    """One request to come."""

    __slots__ = ("at_s", "workspace", "adapter", "tokens")

    def __init__(self, at_s: float, workspace: str, adapter: str, tokens: int) -> None:
        self.at_s = at_s
        self.workspace = workspace
        self.adapter = adapter
        self.tokens = tokens


class Figures:
    """What one run came to."""

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
        self.by_workspace: dict[str, list[float]] = {}


class Agent:
    """One scheduler with its engine."""

    def __init__(
        self, name: str, policy: Policy, slots: int, rng: random.Random
    ) -> None:
        self.name = name
        self.scheduler = Scheduler(
            FairQueue(256, DEBT_UNITS if policy.fair else 1e12),
            (LruSlots if policy.lru else Slots)(slots),
            SchedulerLimits(MAX_RUNNING, 2),
            rng.random,
        )
        self.alive = True
        self.life = 0
        self.served: dict[str, float] = {}
        self.heard: dict[str, float] = {}
        self.changed_at_s = 0.0
        self.loaded_at_s: dict[str, float] = {}


class World:
    """Runs arrivals through one policy in virtual time."""

    def __init__(
        self, deployment: Deployment, policy: Policy, slots: int, seed: int
    ) -> None:
        self.rng = random.Random(seed)
        self.deployment = deployment
        self.policy = policy
        self.now_s = 0.0
        self.figures = Figures()
        self.agents = {
            f"e{n}": Agent(f"e{n}", policy, slots, self.rng)
            for n in range(deployment.replicas)
        }
        self.reports: dict[str, BackendReport] = {}
        self.in_flight: dict[str, int] = dict.fromkeys(self.agents, 0)
        self.fail_loads = 0.0
        rate = deployment.rate_loads_per_s
        self.budget = LoadBudget(LoadLimit(rate, rate, 8), 1, -10.0)
        self.placement = Placement([], "dc")
        self._loading = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._arrived: dict[str, Arrival] = {}

    # ---- time ----

    def at(self, time_s: float, work: Callable[[], None]) -> None:
        """Run ``work`` at a time."""
        self._count += 1
        heapq.heappush(self._events, (time_s, self._count, work))

    def run(self, arrivals: Sequence[Arrival], until_s: float) -> Figures:
        """Run all arrivals and return the figures."""
        for arrival in arrivals:
            self.at(arrival.at_s, lambda item=arrival: self.arrive(item))
        self._report()
        self._keep_granting()
        while self._events:
            time_s, _, work = heapq.heappop(self._events)
            if time_s > until_s:
                break
            self.now_s = time_s
            work()
        return self.figures

    # ---- requests ----

    def arrive(self, arrival: Arrival, tries: int = 0) -> None:
        """Route one request and queue it."""
        figures = self.figures
        units = 1.0 if self.deployment.by_requests else float(arrival.tokens)
        if tries == 0:
            figures.requests += 1
            demanded = figures.demanded.get(arrival.workspace, 0.0)
            figures.demanded[arrival.workspace] = demanded + units
        name = self.policy.router(self, arrival.adapter)
        if name is None or not self.agents[name].alive:
            figures.refused += 1
            return
        agent = self.agents[name]
        self._count += 1
        ticket = Ticket(
            f"r{self._count}",
            arrival.workspace if self.policy.fair else "all",
            1.0,
            arrival.adapter,
            units,
            arrival.at_s + DEADLINE_S,
            self.now_s,
        )
        refused = agent.scheduler.submit(ticket, self.now_s)
        if refused is not None:
            figures.refused += 1
            return
        self._arrived[ticket.request_id] = arrival
        self.in_flight[name] += 1
        self.decide(agent)

    def decide(self, agent: Agent) -> None:
        """Perform what an agent's scheduler decides."""
        self._note_batch(agent)
        for action in agent.scheduler.decide(self.now_s):
            if isinstance(action, StartRequest):
                self._start(agent, action.ticket)
            elif isinstance(action, RequestLoadPermit):
                self._ask(agent, action)
            elif isinstance(action, RejectRequest):
                self.figures.refused += 1
                self.in_flight[agent.name] -= 1
                if agent.scheduler.slots.state(action.ticket.adapter) != "resident":
                    self._note_stall(self.now_s - action.ticket.arrived_at_s)

    def _note_stall(self, waited_s: float) -> None:
        """Count how long a request waited for its adapter to be resident."""
        if waited_s > 0:
            self.figures.stalled += 1
            self.figures.stall_s += waited_s

    def _note_batch(self, agent: Agent) -> None:
        running = len(agent.scheduler.running)
        length_s = self.now_s - agent.changed_at_s
        if running:
            self.figures.busy_s += length_s
            self.figures.running_s += running * length_s
        agent.changed_at_s = self.now_s

    def _start(self, agent: Agent, ticket: Ticket) -> None:
        arrival = self._arrived[ticket.request_id]
        loaded_at_s = agent.loaded_at_s.get(ticket.adapter, 0.0)
        self._note_stall(loaded_at_s - ticket.arrived_at_s)
        batch = len(agent.scheduler.running)
        took_s = arrival.tokens * STEP_S * (1 + BATCH_COST * batch)
        life = agent.life
        self.at(self.now_s + took_s, lambda: self._finish(agent, ticket, life))

    def _finish(self, agent: Agent, ticket: Ticket, life: int) -> None:
        if agent.life != life:
            return
        arrival = self._arrived.pop(ticket.request_id)
        self._note_batch(agent)
        agent.scheduler.finish(ticket, delivered=True)
        self.in_flight[agent.name] -= 1
        name = arrival.workspace
        figures = self.figures
        took_s = self.now_s - arrival.at_s
        figures.latencies_s.append(took_s)
        figures.by_workspace.setdefault(name, []).append(took_s)
        figures.delivered[name] = figures.delivered.get(name, 0.0) + ticket.cost_units
        agent.served[name] = agent.served.get(name, 0.0) + ticket.cost_units
        self.decide(agent)

    # ---- loads ----

    def _ask(self, agent: Agent, action: RequestLoadPermit) -> None:
        life = agent.life
        token = (agent, action.adapter, life)
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
                token,
            )
        )
        self._grant()
        self.at(expires_at_s, self._grant)

    def _keep_granting(self) -> None:
        self._grant()
        self.at(self.now_s + GRANT_S, self._keep_granting)

    def _grant(self) -> None:
        for decision in self.budget.decide(self.now_s):
            agent, adapter, life = decision.request.reply_handle  # type: ignore[misc]
            if agent.life != life:
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
        self.figures.loads += 1
        life = agent.life
        took_s = LOAD_S * max(1.0, self._loading / 8)
        loaded = self.rng.random() >= self.fail_loads

        def end() -> None:
            self._loading -= 1
            self.budget.finish(permit_id)
            if agent.life == life:
                if loaded:
                    agent.loaded_at_s[adapter] = self.now_s
                agent.scheduler.end_load(adapter, loaded=loaded, now_s=self.now_s)
                self.decide(agent)

        self.at(self.now_s + took_s, end)

    # ---- reports and faults ----

    def _report(self) -> None:
        for agent in self.agents.values():
            if not agent.alive:
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
                self._share_service(agent)
            self.decide(agent)
        self.placement = Placement(list(self.reports.values()), "dc")
        self.at(self.now_s + REPORT_S, self._report)

    def _share_service(self, agent: Agent) -> None:
        for other in self.agents.values():
            if other is agent:
                continue
            for name, units in other.served.items():
                key = f"{other.name}/{name}"
                gained = units - agent.heard.get(key, 0.0)
                if gained > 0:
                    agent.heard[key] = units
                    agent.scheduler.queue.charge(name, gained, 1.0)

    def restart(self, name: str) -> None:
        """Restart an engine cold; what it ran is sent again."""
        agent = self.agents[name]
        self._note_batch(agent)
        lost = list(agent.scheduler.running.values())
        agent.scheduler.engine_restarted()
        agent.life += 1
        for ticket in lost:
            agent.scheduler.finish(ticket, delivered=False)
            self.in_flight[name] -= 1
            self.arrive(self._arrived.pop(ticket.request_id), tries=1)

    def lose(self, name: str) -> None:
        """Lose a replica; its requests are sent again elsewhere."""
        agent = self.agents[name]
        agent.alive = False
        self.reports.pop(name, None)
        self.placement = Placement(list(self.reports.values()), "dc")
        waiting = list(agent.scheduler.queue)
        for ticket in waiting:
            agent.scheduler.cancel(ticket)
            self.in_flight[name] -= 1
            self.arrive(self._arrived.pop(ticket.request_id), tries=1)
        self.restart(name)
