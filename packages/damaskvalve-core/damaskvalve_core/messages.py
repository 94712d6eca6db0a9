"""Public names of the typed messages; see :mod:`damaskvalve_core._messages`."""

from damaskvalve_core import _messages
from damaskvalve_core._messages import *  # noqa: F401,F403

__all__ = list(_messages.__all__)
