"""The thread-safe face of a running member of the group."""

import contextlib
import threading
from collections.abc import Callable, Iterator
from typing import Any, TypeVar

import pykka

from damaskvalve_core import Dialer, RetryLaterError
from damaskvalve_core.messages import Command, CommandResult
from damaskvalve_state._node import GroupNode
from damaskvalve_state._node_messages import Request, Run, Tick
from damaskvalve_state._node_settings import NodeSettings, NodeStatus, PublishedStatus

TICK_S = 0.03
T = TypeVar("T")


class Group:
    """The thread-safe face of a running member."""

    def __init__(
        self, actor: "pykka.ActorRef[GroupNode]", board: PublishedStatus
    ) -> None:
        self._actor = actor
        self._board = board

    def _tell(self, message: Any) -> None:
        try:
            self._actor.tell(message)
        except pykka.ActorDeadError as error:
            raise RetryLaterError("the control host is stopping") from error

    def handle_peer_message(self, message: Any, timeout_s: float) -> Any:
        """Handle a message of another member and return the reply."""
        future: pykka.ThreadingFuture[Any] = pykka.ThreadingFuture()
        self._tell(Request(message, future))
        return _wait(future, timeout_s)

    def run(self, work: Callable[[GroupNode, float], T], timeout_s: float = 2.0) -> T:
        """Run a function inside the actor and return what it returns."""
        future: pykka.ThreadingFuture[T] = pykka.ThreadingFuture()
        self._tell(Run(work, future))
        return _wait(future, timeout_s)

    def propose(self, command: Command, timeout_s: float) -> CommandResult | None:
        """Commit a command as leader; None if this member is not the leader.

        Raises :class:`RetryLaterError` when the outcome is not known.
        """
        future: pykka.ThreadingFuture[CommandResult | None] = pykka.ThreadingFuture()

        def start(node: GroupNode, now_s: float) -> bool:
            return node.propose(command, future.set, now_s)

        if not self.run(start):
            return None
        result = _wait(future, timeout_s)
        if result is None:
            raise RetryLaterError("the leader changed; the outcome is not known")
        return result

    def transfer_leadership(self) -> None:
        """Let another member lead soon, because this one is about to stop."""
        self.run(lambda node, now_s: node.transfer_leadership(now_s))

    def status(self) -> NodeStatus:
        """Return what the member published last, without waiting for it."""
        return self._board.status

    def tick(self) -> None:
        """Let the member notice the passing of time."""
        self._tell(Tick())


def _wait(future: "pykka.ThreadingFuture[T]", timeout_s: float) -> T:
    try:
        return future.get(timeout=timeout_s)
    except pykka.Timeout as error:
        raise RetryLaterError("the control host did not answer in time") from error


def _tick_until(stop: threading.Event, group: Group) -> None:
    while not stop.wait(TICK_S):
        try:
            group.tick()
        except RetryLaterError:
            return


@contextlib.contextmanager
def running_group(settings: NodeSettings, dialer: Dialer) -> Iterator[Group]:
    """Run a member of the group; it is stopped at the end."""
    if settings.folder is not None:
        settings.folder.mkdir(parents=True, exist_ok=True)
    board = PublishedStatus()
    actor = GroupNode.start(settings, dialer, board)
    group = Group(actor, board)
    stop = threading.Event()
    ticker = threading.Thread(target=_tick_until, args=(stop, group), daemon=True)
    ticker.start()
    try:
        yield group
    finally:
        stop.set()
        ticker.join()
        actor.stop()
