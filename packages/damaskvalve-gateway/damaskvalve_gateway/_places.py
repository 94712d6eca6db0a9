"""The data centres to which a request may be sent: its homes, less the evacuated."""

from collections.abc import Mapping, Sequence

from damaskvalve_core import RefusedError
from damaskvalve_gateway._backend import Backend
from damaskvalve_gateway._exchange import Exchange

# An operator ends an evacuation at no known time. What a refused caller can be told is
# when the answer may be a different one at the earliest.
EVACUATED_RETRY_AFTER_S = 1.0
NO_HOME_RETRY_AFTER_S = 1.0


def at_home(
    backends: Sequence[Backend], exchange: Exchange, regions: Mapping[str, str]
) -> Sequence[Backend]:
    """Return the backend servers in the home regions of a request.

    Where both the route and the workspace have homes, both bind. A data centre of
    unknown region is nobody's home.
    """
    route_homes = exchange.route.homes
    workspace_homes = exchange.workspace.homes if exchange.workspace else ()
    for homes in (route_homes, workspace_homes):
        if homes:
            backends = [
                item
                for item in backends
                if regions.get(item.announcement.data_centre) in homes
            ]
    return backends


def permitted(
    live: Sequence[Backend], exchange: Exchange, regions: Mapping[str, str]
) -> Sequence[Backend]:
    """Return the live backend servers to which a request may be sent.

    Raise :class:`RefusedError` if there are live ones, but it may be sent to none.
    """
    service = exchange.service.name
    homely = at_home(live, exchange, regions)
    if live and not homely:
        raise RefusedError(
            503,
            "no_backend_at_home",
            f"no backend server of {service} is in a home region of the request",
            retry_after_s=NO_HOME_RETRY_AFTER_S,
        )
    staying = [item for item in homely if not item.is_evacuated()]
    if homely and not staying:
        raise RefusedError(
            503,
            "data_centre_evacuated",
            f"operators have evacuated the data centres of all backend servers of "
            f"{service}",
            retry_after_s=EVACUATED_RETRY_AFTER_S,
        )
    return staying
