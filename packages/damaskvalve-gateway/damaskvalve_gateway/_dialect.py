"""Interface between the gateway's own types and a deployment's wire format.

Each wire format supplies one :class:`Dialect`, whose functions decode and encode bytes.
"""

from collections.abc import Callable, Collection, Sequence

from damaskvalve_core import RefusedError
from damaskvalve_core.http import Headers, IncomingRequest
from damaskvalve_gateway._model import (
    CallerRequest,
    ForwardingFields,
    GatewayConfiguration,
    ReplyMetadata,
)


class Dialect:
    """The functions that translate one wire format."""

    __slots__ = (
        "read_request",
        "backend_headers",
        "read_reply",
        "refusal",
        "read_configuration",
        "event_fields",
    )

    def __init__(
        self,
        read_request: Callable[[IncomingRequest], CallerRequest],
        backend_headers: Callable[
            [CallerRequest, ForwardingFields], Sequence[tuple[bytes, bytes]]
        ],
        read_reply: Callable[[int, Headers], ReplyMetadata],
        refusal: Callable[[RefusedError], tuple[Headers, bytes]],
        read_configuration: Callable[[bytes], GatewayConfiguration],
        event_fields: Collection[bytes] = (),
    ) -> None:
        # Raises RefusedError for a malformed request.
        self.read_request = read_request
        self.backend_headers = backend_headers
        self.read_reply = read_reply
        self.refusal = refusal
        # Raises SettingsError with every finding for an invalid configuration.
        self.read_configuration = read_configuration
        # Fields of events besides those of server-sent events.
        self.event_fields = frozenset(event_fields)
