"""What the actor of a control host takes from its mailbox."""

from collections.abc import Callable
from typing import Any, Generic, TypeVar

import pykka

from damaskvalve_core.messages import Member

T = TypeVar("T")


class Tick:
    """Time has passed."""

    __slots__ = ()


class Flush:
    """Everything that waited before this is to be written and sent."""

    __slots__ = ()


class Request:
    """A message of another member that waits for its reply."""

    __slots__ = ("message", "future")

    def __init__(self, message: Any, future: "pykka.ThreadingFuture[Any]") -> None:
        self.message = message
        self.future = future


class Answer:
    """A member's reply to a message, None if there was none."""

    __slots__ = ("member", "reply")

    def __init__(self, member: Member, reply: Any) -> None:
        self.member = member
        self.reply = reply


class Run(Generic[T]):
    """A function to run inside the actor."""

    __slots__ = ("work", "future")

    def __init__(
        self,
        work: Callable[[Any, float], T],
        future: "pykka.ThreadingFuture[T]",
    ) -> None:
        self.work = work
        self.future = future
