"""Messages in the mailbox of a control host's actor."""

from collections.abc import Callable
from typing import Any, Generic, Protocol, TypeVar

import pykka

from damaskvalve_core.messages import Member

T = TypeVar("T")
T_contra = TypeVar("T_contra", contravariant=True)


class Tick:
    """Triggers the periodic work of a member."""

    __slots__ = ()


class Flush:
    """Writes and sends the output of all messages queued before it."""

    __slots__ = ()


class PeerRequest:
    """A request from another member, with a future for the reply."""

    __slots__ = ("message", "future")

    def __init__(self, message: Any, future: "pykka.ThreadingFuture[Any]") -> None:
        self.message = message
        self.future = future


class PeerReply:
    """A member's reply to a request; None if the request failed."""

    __slots__ = ("member", "request", "reply")

    def __init__(self, member: Member, request: Any, reply: Any) -> None:
        self.member = member
        self.request = request
        self.reply = reply


class ResultFuture(Protocol[T_contra]):
    """What receives the result of a function that runs in the actor's thread."""

    def set(self, value: T_contra) -> Any:
        """Complete it with a result."""

    def set_exception(self) -> None:
        """Complete it with the exception that is being handled."""


class RunInActor(Generic[T]):
    """A function to run in the actor's thread."""

    __slots__ = ("function", "future")

    def __init__(
        self,
        function: Callable[[Any, float], T],
        future: ResultFuture[T],
    ) -> None:
        self.function = function
        self.future = future
