"""Which order about the evacuation of a data centre holds."""

from damaskvalve_core.messages import EvacuationRecord


def ordered(
    known: EvacuationRecord | None, order: EvacuationRecord, index: int
) -> EvacuationRecord | None:
    """Return the record after an order at a log index; None if the order is obsolete.

    An order that repeats the one in force keeps who gave it first and when. It still
    takes the new index: what was sent before it, and arrives later, is obsolete too.
    An order that changes something has to name the newest order as the one before it.
    Otherwise it may be a late copy of one that its operator has given up.
    """
    if known is not None and bool(known.in_force) == bool(order.in_force):
        return EvacuationRecord(
            known.data_centre, known.in_force, known.actor, known.ordered_at_s, index
        )
    if (known.index if known is not None else 0) != (order.index or 0):
        return None
    return EvacuationRecord(
        order.data_centre,
        bool(order.in_force),
        order.actor,
        order.ordered_at_s,
        index,
    )
