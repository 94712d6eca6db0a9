"""How the consensus of a member reads and checks the state that its driver applies."""

from collections.abc import Callable


class AppliedState:
    """The state after all commands up to an entry, as a snapshot holds it."""

    __slots__ = ("index", "data")

    def __init__(self, index: int, data: bytes) -> None:
        self.index = index
        self.data = data


class StateAccess:
    """Functions of the driver; the consensus itself knows entries only."""

    __slots__ = ("capture", "is_readable")

    def __init__(
        self,
        capture: Callable[[], AppliedState | None],
        is_readable: Callable[[bytes], bool],
    ) -> None:
        # Returns the applied state; None if there is none.
        self.capture = capture
        # Returns whether the data of a snapshot can be restored.
        self.is_readable = is_readable


#: Of a member whose driver takes snapshots only when its log has to shrink.
WITHOUT_STATE = StateAccess(lambda: None, lambda data: True)
