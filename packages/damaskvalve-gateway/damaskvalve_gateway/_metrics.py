"""The metrics of a gateway host."""

from damaskvalve_core import DecisionLog, boot_clock_s
from damaskvalve_core.metrics import ProcessMetrics
from damaskvalve_gateway._cluster_view import ClusterView
from damaskvalve_gateway._exchange import Exchange
from damaskvalve_gateway._quota import HostQuota
from damaskvalve_gateway._state_client import StateClient


class GatewayMetrics:
    """Counts requests, and reads gauges from the components that hold them."""

    def __init__(
        self,
        process: str,
        view: ClusterView,
        quota: HostQuota,
        state_client: StateClient,
        log: DecisionLog,
    ) -> None:
        def refused() -> int:
            now_s = boot_clock_s()
            statuses = list(view.suspect_statuses.values())
            return sum(suspect_status.is_refused(now_s) for suspect_status in statuses)

        def version() -> float:
            configuration = view.configuration
            return configuration.version if configuration else 0

        self._metrics = ProcessMetrics(
            process,
            {
                "requests": "requests by outcome",
                "refusals": "refusals by status and reason",
                "sends": "requests sent to backend servers, retries included",
                "engine_choices": "permits by why their engine was chosen",
                "broken_runs": "runs whose connection broke",
                "limit_refusals": "requests not sent because of a request limit",
                "unknown_reply_fields": "replies with an unknown header, by name",
                "closed_connections": "connections closed by a limit, by reason",
            },
            {
                "request": "time of a whole request",
                "first_event": "time to the first event of a stream",
                "pause": "longest pause between two events of a stream",
                "wait": "time that a request waited for its permit",
            },
            {
                "configuration_version": version,
                "leader_age_s": lambda: boot_clock_s() - view.leader_contact_s,
                "configuration_age_s": (
                    lambda: view.confirmations.age_s(boot_clock_s())
                ),
                "leader_known": lambda: float(bool(state_client.leader_address())),
                "leads": lambda: float(state_client.leads(boot_clock_s())),
                "voters": lambda: len(state_client.status().voter_addresses),
                "silent_voters": lambda: state_client.status().silent_voters,
                "applied_index": lambda: state_client.applied_index,
                "quota_part": lambda: quota.current_share(boot_clock_s()),
                "hosts": lambda: view.host_count,
                "backend_servers": view.backends.count_ready,
                "limited_backend_servers": view.backends.count_limited,
                "evacuated_data_centres": (
                    lambda: len(view.backends.evacuations.in_force())
                ),
                "cold_backend_servers": (
                    lambda: len(view.backends.cold(boot_clock_s()))
                ),
                "suspected_requests": lambda: len(view.suspect_statuses),
                "refused_requests": refused,
                "log_lines_dropped": lambda: log.dropped_total,
            },
        )

    def note_request(self, exchange: Exchange, outcome: str, now_s: float) -> None:
        """Count an admitted request with its outcome and times."""
        kind = exchange.route.kind
        self._metrics.count("requests", outcome=outcome, kind=kind)
        self._metrics.time("request", now_s - exchange.arrived_s, kind=kind)
        for _ in range(exchange.attempts):
            self._metrics.count("sends", kind=kind)
        if exchange.first_event_s is not None:
            first_s = exchange.first_event_s - exchange.arrived_s
            self._metrics.time("first_event", first_s)
            self._metrics.time("pause", exchange.longest_pause_s)
            self._metrics.time("wait", exchange.waited_s)

    def note_refusal(self, status: int, code: str) -> None:
        """Count a request that the system refused itself."""
        self._metrics.count("refusals", status=str(status), code=code)

    def note_engine_choice(self, reason: str) -> None:
        """Count a permit: from the usual engine, or another by load or refusal."""
        self._metrics.count("engine_choices", reason=reason)

    def note_broken_run(self) -> None:
        """Count a run whose connection broke."""
        self._metrics.count("broken_runs")

    def note_limit_refusal(self, reason: str) -> None:
        """Count a request that a limit, or the lack of a leader, kept from a send."""
        self._metrics.count("limit_refusals", reason=reason)

    def note_unknown_field(self, name: str) -> None:
        """Count a reply with a header that this release does not know."""
        self._metrics.count("unknown_reply_fields", field=name)

    def note_closed_connections(self, reason: str, closed: int) -> None:
        """Count connections that a limit on connections or on pauses closed."""
        self._metrics.count("closed_connections", closed, reason=reason)

    def load(self) -> None:
        """Load the metrics library."""
        self._metrics.load()

    def render(self) -> bytes:
        """Return all metrics in text format."""
        return self._metrics.render()
