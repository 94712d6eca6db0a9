"""The right to start a request on one backend server."""

from damaskvalve_core import boot_clock_s
from damaskvalve_core.messages import AdmitEnd
from damaskvalve_core.rpc import RpcCall
from damaskvalve_gateway._backend import Backend
from damaskvalve_gateway._choice import ServerLoad
from damaskvalve_gateway._send_gate import SendGrant

# Notices to the agent: the reply has begun, and the request has ended.
STARTED = "started"
RELEASED = "released"


class Permit:
    """The right to start a request on one backend server."""

    __slots__ = (
        "backend",
        "grant",
        "version",
        "_call",
        "_request_id",
        "_load",
        "_granted_s",
        "_watched",
        "_event_at_s",
    )

    def __init__(
        self,
        backend: Backend,
        grant: SendGrant,
        version: int,
        call: RpcCall | None,
        request_id: str,
        load: ServerLoad | None = None,
        *,
        watched: bool = False,
    ) -> None:
        self.backend = backend
        # The right to send the request, if the backend server limits requests.
        self.grant = grant
        # The adapter version loaded in the engine; 0 if unknown.
        self.version = version
        # None if the backend server has no agent, or its agent is unresponsive.
        self._call = call
        self._request_id = request_id
        # What this host knows about the engine; None if the reply is no new stream.
        self._load = load
        self._granted_s = boot_clock_s()
        # Whether the agent asked for the time between events; few streams are watched.
        self._watched = watched
        self._event_at_s = 0.0

    def note_started(self) -> None:
        """Notify the agent that the first event or the reply has arrived.

        Of a watched stream, the agent is told the time between events too.
        """
        if self._call is None or (self._event_at_s and not self._watched):
            return
        now_s = boot_clock_s()
        interval_s = now_s - self._event_at_s if self._event_at_s else None
        self._event_at_s = now_s
        self._call.send(AdmitEnd(self._request_id, STARTED, interval_s))
        if interval_s is None and self._load is not None:
            self._load.note_first_event(now_s - self._granted_s, now_s)

    def release(self, outcome: str) -> None:
        """Notify the agent that the attempt has ended with an outcome."""
        if self._call is not None:
            self._call.send(AdmitEnd(self._request_id, f"{RELEASED} {outcome}"))
