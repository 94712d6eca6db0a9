"""Calls from the agent to the control hosts."""

from collections.abc import Sequence

import logbook

from damaskvalve_core import Dialer, LeaderClient, RetryLaterError
from damaskvalve_core.messages import (
    BackendReport,
    Command,
    CommandResult,
    GrantFence,
    PermitReply,
    PermitRequest,
    ReportCrash,
    ReportReply,
    WorkRequest,
)

CALL_TIMEOUT_S = 2.0
REPORT_TIMEOUT_S = 1.0

_log = logbook.Logger("control")


class ControlClient:
    """Requests fences and permits from the leader, and reports to control hosts."""

    def __init__(self, addresses: Sequence[str], dialer: Dialer) -> None:
        self._dialer = dialer
        self._leader = LeaderClient(addresses, dialer)

    def grant_fence(self, backend_server: str, holder: str) -> CommandResult:
        """Commit the next fencing number for a holder."""
        command = Command(fence=GrantFence(backend_server, holder))
        return self._leader.commit(command, CALL_TIMEOUT_S)

    def report_crash(self, work: WorkRequest) -> bool:
        """Report that some work crashed the backend server.

        Return False if no leader accepted the report. A repeated report counts once.
        """
        report_id = f"{work.request_id}/{work.attempt}"
        report = ReportCrash(work.fingerprint, report_id, work.isolated)
        try:
            self._leader.commit(Command(crash=report), CALL_TIMEOUT_S)
        except RetryLaterError as error:
            _log.warning("crash report {} was not accepted: {}", report_id, error)
            return False
        return True

    def request_permit(self, request: PermitRequest) -> PermitReply:
        """Request a load permit; block for up to the wait that the request names."""
        reply: PermitReply = self._leader.call(request, request.wait_s + CALL_TIMEOUT_S)
        return reply

    def report(self, address: str, report: BackendReport) -> ReportReply:
        """Send a report to one control host."""
        reply: ReportReply = self._dialer.call(address, report, REPORT_TIMEOUT_S)
        return reply
