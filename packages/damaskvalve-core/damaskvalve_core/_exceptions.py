"""The exception tree: one base, then one branch for each thing a caller can do."""

from collections.abc import Sequence


class DamaskvalveError(Exception):
    """Base of every error that this project raises on purpose."""


class Finding:
    """One problem in a settings or answers file, with its place."""

    __slots__ = ("place", "problem")

    def __init__(self, place: str, problem: str) -> None:
        self.place = place
        self.problem = problem

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}"


class SettingsError(DamaskvalveError):
    """The file has to be mended; carries every finding at once."""

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = tuple(findings)


class RetryLaterError(DamaskvalveError):
    """The operation may work later without any change by the caller."""

    def __init__(self, message: str, retry_after_s: float = 1.0) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class ChannelError(RetryLaterError):
    """A connection between two of the system's processes failed."""


class ReceiveTimeoutError(ChannelError):
    """Nothing arrived within the timeout; the connection is still usable."""


class NotSentError(ChannelError):
    """The connection failed before any byte of the message was written."""


class ProtocolError(DamaskvalveError):
    """A peer sent something that is not a valid message."""


class OperatorError(DamaskvalveError):
    """An operator has to act; the message names the next step."""


class CorruptJournalError(OperatorError):
    """The journal has a bad record that is not a torn tail."""


class RefusedError(DamaskvalveError):
    """A request is refused; says whether it ran and when to come back.

    ``ran`` is one of :data:`NOT_RUN`, :data:`UNKNOWN` and :data:`RAN`.
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


NOT_RUN = "not-run"
UNKNOWN = "unknown"
RAN = "ran"
