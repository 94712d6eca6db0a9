"""The thread-safe interface of a running group member."""

import contextlib
import threading
from collections.abc import Callable, Iterator
from typing import Any, TypeVar

import logbook
import pykka

from damaskvalve_core import Dialer, RetryLaterError
from damaskvalve_core.messages import Command, CommandResult
from damaskvalve_state._group_reporter import GroupObserver, ignore_event
from damaskvalve_state._journal import make_folder
from damaskvalve_state._loop_future import LoopFuture
from damaskvalve_state._node import GroupNode
from damaskvalve_state._node_messages import PeerRequest, RunInActor, Tick
from damaskvalve_state._node_settings import NodeSettings, NodeStatus, PublishedStatus

TICK_INTERVAL_S = 0.03
# How long the end of a member may take; what it has to write is a few kilobytes.
STOP_TIMEOUT_S = 0.3

_log = logbook.Logger("group")
T = TypeVar("T")


class Group:
    """A thread-safe handle of a running member."""

    def __init__(
        self, actor: "pykka.ActorRef[GroupNode]", published: PublishedStatus
    ) -> None:
        self._actor = actor
        self._published = published

    def _tell(self, message: Any) -> None:
        try:
            self._actor.tell(message)
        except pykka.ActorDeadError as error:
            raise RetryLaterError("the control host is stopping") from error

    def handle_peer_message(self, message: Any, timeout_s: float) -> Any:
        """Handle a message from another member and return the reply."""
        future: pykka.ThreadingFuture[Any] = pykka.ThreadingFuture()
        self._tell(PeerRequest(message, future))
        return _wait(future, timeout_s)

    def run(
        self, function: Callable[[GroupNode, float], T], timeout_s: float = 2.0
    ) -> T:
        """Run a function in the actor's thread and return its result."""
        future: pykka.ThreadingFuture[T] = pykka.ThreadingFuture()
        self._tell(RunInActor(function, future))
        return _wait(future, timeout_s)

    def propose(self, command: Command, timeout_s: float) -> CommandResult | None:
        """Commit a command as leader; return None if this member is not the leader.

        Raise :class:`RetryLaterError` if the outcome is unknown.
        """
        future: pykka.ThreadingFuture[CommandResult | None] = pykka.ThreadingFuture()

        def start(node: GroupNode, now_s: float) -> bool:
            return node.propose(command, future.set, now_s)

        if not self.run(start):
            return None
        return _known(_wait(future, timeout_s))

    async def run_async(
        self, function: Callable[[GroupNode, float], T], timeout_s: float = 2.0
    ) -> T:
        """Do the same as :meth:`run`; the event loop goes on meanwhile."""
        future: LoopFuture[T] = LoopFuture()
        self._tell(RunInActor(function, future))
        return await future.wait(timeout_s)

    async def propose_async(
        self, command: Command, timeout_s: float
    ) -> CommandResult | None:
        """Do the same as :meth:`propose`; the event loop goes on meanwhile.

        No thread waits for the outcome, which may take longer than a stop of the
        process.
        """
        future: LoopFuture[CommandResult | None] = LoopFuture()

        def start(node: GroupNode, now_s: float) -> bool:
            return node.propose(command, future.set, now_s)

        if not await self.run_async(start):
            return None
        return _known(await future.wait(timeout_s))

    async def announce_stop(self) -> None:
        """Give up leadership and, if the others can spare it, the vote.

        To be called some seconds before the member stops.
        """
        await self.run_async(lambda node, now_s: node.announce_stop(now_s))

    def status(self) -> NodeStatus:
        """Return the last published status without waiting for the actor."""
        return self._published.status

    def tick(self) -> None:
        """Trigger the periodic work of the member."""
        self._tell(Tick())


def _known(result: CommandResult | None) -> CommandResult:
    if result is None:
        raise RetryLaterError(
            "the leader changed; the outcome of the command is unknown"
        )
    return result


def _wait(future: "pykka.ThreadingFuture[T]", timeout_s: float) -> T:
    try:
        return future.get(timeout=timeout_s)
    except pykka.Timeout as error:
        raise RetryLaterError(
            "the control host did not answer within the timeout"
        ) from error


def _tick_until(stop: threading.Event, group: Group) -> None:
    while not stop.wait(TICK_INTERVAL_S):
        try:
            group.tick()
        except RetryLaterError:
            return


@contextlib.contextmanager
def running_group(
    settings: NodeSettings, dialer: Dialer, observer: GroupObserver = ignore_event
) -> Iterator[Group]:
    """Run a member of the group; stop it on exit.

    A member that waits for its disk is abandoned after a timeout: nothing of what it
    still writes has been acknowledged, and a process that is asked to stop is killed
    soon.

    The observer is called in the member's thread with each change of the voters, of
    their contact with the leader, and of the leader.
    """
    if settings.folder is not None:
        make_folder(settings.folder)
    published = PublishedStatus()
    actor = GroupNode.start(settings, dialer, published, observer)
    group = Group(actor, published)
    stop = threading.Event()
    ticker = threading.Thread(target=_tick_until, args=(stop, group), daemon=True)
    ticker.start()
    try:
        yield group
    finally:
        stop.set()
        published.stop_requested.set()
        ticker.join()
        try:
            actor.stop(timeout=STOP_TIMEOUT_S)
        except pykka.Timeout:
            _log.warning(
                "the disk holds the member; it is abandoned as by the loss of power"
            )
