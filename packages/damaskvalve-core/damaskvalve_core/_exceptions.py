"""Exception hierarchy: one base class, and one branch for each way to react."""

from collections.abc import Sequence


class DamaskvalveError(Exception):
    """Base class of all errors that this project raises deliberately."""


class Finding:
    """One problem in a settings or answers file, with its location."""

    __slots__ = ("place", "problem")

    def __init__(self, place: str, problem: str) -> None:
        self.place = place
        self.problem = problem

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}"


class SettingsError(DamaskvalveError):
    """A settings or answers file is invalid; lists all findings in it."""

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = tuple(findings)


class RetryLaterError(DamaskvalveError):
    """The operation failed for now; the same request may succeed later."""

    def __init__(self, message: str, retry_after_s: float = 1.0) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class ChannelError(RetryLaterError):
    """A connection between two processes of the system failed."""


class ReceiveTimeoutError(ChannelError):
    """No data arrived within the timeout; the connection remains usable."""


class NotSentError(ChannelError):
    """The connection failed before any byte of the message was written."""


class ProtocolError(DamaskvalveError):
    """A peer sent an invalid message."""


class EncodingError(ProtocolError):
    """A value does not fit into the message or record that should carry it."""


class OperatorError(DamaskvalveError):
    """An operator has to intervene; the message names the next step."""


class CorruptJournalError(OperatorError):
    """The journal has an invalid record that is not an incomplete last write."""


class RefusedError(DamaskvalveError):
    """A request is refused; states whether it ran and when to retry it.

    ``ran`` is one of :data:`NOT_RUN`, :data:`UNKNOWN` and :data:`RAN`.
    ``retry_after_s`` is None if the refusal names no time for a retry.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        *,
        ran: str = "not-run",
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.ran = ran
        self.retry_after_s = retry_after_s


class StartEndedError(DamaskvalveError):
    """The process was told to stop while it started; nothing has to be finished."""


NOT_RUN = "not-run"
UNKNOWN = "unknown"
RAN = "ran"
