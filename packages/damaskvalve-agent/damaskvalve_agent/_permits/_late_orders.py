"""Loads that were ordered from an engine before its restart and may still be made.

An order names the number of orders that the engine has accepted before it. The engine
counts anew after a restart, so an order from before it that is still under way becomes
valid once the counts agree.
"""

# An order that had no answer is not carried out later than this.
MAX_LATENESS_S = 10.0
# Orders are sent one at a time and each is awaited, so there are few of them.
MAX_ORDERS = 64


class OrderMark:
    """What an order relied on: the engine's incarnation and its count of orders."""

    __slots__ = ("incarnation", "order_count")

    def __init__(self, incarnation: int, order_count: int) -> None:
        # How often the engine had restarted, as far as the agent knew.
        self.incarnation = incarnation
        self.order_count = order_count


class LateOrders:
    """Load orders without an answer, of this incarnation of the engine and before."""

    __slots__ = ("_orders",)

    def __init__(self) -> None:
        # What each order relied on, and when it was known to have no answer.
        self._orders: list[tuple[OrderMark, float]] = []

    def note_unanswered(self, mark: OrderMark, now_s: float) -> None:
        """Record a load order that had no answer."""
        self._orders = [*self._orders, (mark, now_s)][-MAX_ORDERS:]

    def count_valid(self, present: OrderMark, now_s: float) -> int:
        """Return how many orders from before a restart may still be carried out.

        The engine may restart again and come to the same count once more, so an order
        is discarded for its age only.
        """
        self._orders = [
            (mark, noted_s)
            for mark, noted_s in self._orders
            if now_s - noted_s <= MAX_LATENESS_S
        ]
        return sum(
            mark.incarnation != present.incarnation
            and mark.order_count >= present.order_count
            for mark, _ in self._orders
        )


__all__ = ["LateOrders", "OrderMark"]
