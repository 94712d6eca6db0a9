"""The mechanisms by which orders to evacuate data centres and homes hold."""

from typing import Any

from damaskvalve_gateway import _control_service, _places
from damaskvalve_gateway._backend import Backend
from damaskvalve_gateway._evacuations import Evacuations
from damaskvalve_standins._proof import Proof, replace
from damaskvalve_state import _evacuations, _state_machine
from damaskvalve_state._machine_state import MachineState

_STATE = "damaskvalve_state.tests.test_evacuations.EvacuationTests."
_GATEWAY = "damaskvalve_gateway.tests.test_evacuations."
_ORDERED = _evacuations.ordered
_FROM_BYTES = MachineState.from_bytes.__func__  # type: ignore[attr-defined]


def _accept_any_order(known: Any, order: Any, index: int) -> Any:
    if known is not None:
        order.index = known.index
    return _ORDERED(known, order, index)


def _keep_first_index(known: Any, order: Any, index: int) -> Any:
    record = _ORDERED(known, order, index)
    if record is not None and known is not None and known.in_force == record.in_force:
        record.index = known.index
    return record


def _forget_orders(cls: Any, data: bytes) -> Any:
    state_machine = _FROM_BYTES(cls, data)
    state_machine.evacuations = {}
    return state_machine


EVACUATION_PROOFS = (
    Proof(
        "a late order does not undo a newer one",
        replace(_state_machine, "ordered", _accept_any_order),
        f"{_STATE}test_an_acknowledged_order_holds_whatever_arrives_late",
    ),
    Proof(
        "a repeated order outdates what was sent before it",
        replace(_state_machine, "ordered", _keep_first_index),
        f"{_STATE}test_a_withdrawal_that_was_repeated_outdates_every_earlier_order",
    ),
    Proof(
        "orders to evacuate are in the snapshot",
        replace(MachineState, "from_bytes", classmethod(_forget_orders)),
        f"{_GATEWAY}LaterOrderTests.test_what_was_acknowledged_last_holds",
    ),
    Proof(
        "evacuations are checked before each send",
        replace(Backend, "is_evacuated", lambda self: False),
        f"{_GATEWAY}EvacuatedBackendTests."
        "test_a_request_that_waits_for_a_replaced_incarnation_sees_the_evacuation",
    ),
    Proof(
        "hosts follow the orders in the log",
        replace(Evacuations, "apply", lambda self, records: ()),
        f"{_GATEWAY}OrderTests.test_an_order_comes_in_force_at_all_hosts",
    ),
    Proof(
        "an order of an operator who is gone is dropped",
        replace(_control_service, "DISCONNECT_NOTICE_S", 0.0),
        f"{_GATEWAY}OrderTests."
        "test_an_order_is_not_committed_if_its_operator_is_gone",
    ),
    Proof(
        "requests stay in their home regions",
        replace(_places, "at_home", lambda live, exchange, regions: live),
        f"{_GATEWAY}EvacuatedBackendTests."
        "test_the_homes_of_route_and_workspace_both_bind",
    ),
)

__all__ = ["EVACUATION_PROOFS"]
