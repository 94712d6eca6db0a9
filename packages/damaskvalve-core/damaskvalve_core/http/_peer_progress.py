"""Tells a caller that reads slowly from one that reads nothing or has disappeared.

The kernel's own timeout for unacknowledged data (``TCP_USER_TIMEOUT``) can't: it also
ends the connection of a caller that is there and does not read for a while.
"""

import socket
import struct

# How long a caller may leave the rest of a response unread.
MAX_PAUSE_S = 6.0
# Number of transmissions of the same data, or of questions whether the peer has room,
# without any answer; the fourth is sent 3 s after the first, or later.
MAX_UNANSWERED = 4
# Of the time between two checks, at most this counts: this process may have paused.
MAX_CHECK_INTERVAL_S = 2.0
# Reasons for closing a connection.
UNREAD = "unread"
SILENT = "silent"

_INFO_BYTES = 192
# Offsets in the kernel's struct tcp_info.
_UNACKED_OFFSET = 24
_ACKED_BYTES_OFFSET = 120
_NOT_SENT_BYTES_OFFSET = 144


class PeerState:
    """What the kernel knows of the peer of a connection."""

    __slots__ = ("acked_bytes", "is_outstanding", "unanswered")

    def __init__(self, acked_bytes: int, is_outstanding: bool, unanswered: int) -> None:
        self.acked_bytes = acked_bytes
        # Whether bytes are unsent or not acknowledged.
        self.is_outstanding = is_outstanding
        # Transmissions since the peer last acknowledged anything.
        self.unanswered = unanswered


def read_peer_state(sock: socket.socket | None) -> PeerState | None:
    """Return the state of a connection's peer; None if the kernel does not tell."""
    option = getattr(socket, "TCP_INFO", None)
    if sock is None or option is None:
        return None
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, option, _INFO_BYTES)
        state, _, retransmissions, probes = struct.unpack_from("BBBB", info)
        (unacked,) = struct.unpack_from("=I", info, _UNACKED_OFFSET)
        (acked_bytes,) = struct.unpack_from("=Q", info, _ACKED_BYTES_OFFSET)
        (not_sent_bytes,) = struct.unpack_from("=I", info, _NOT_SENT_BYTES_OFFSET)
    except (OSError, struct.error):
        return None
    if not state:
        return None
    is_outstanding = bool(unacked or not_sent_bytes)
    return PeerState(acked_bytes, is_outstanding, max(retransmissions, probes))


def tells_peer_state(sock: socket.socket) -> bool:
    """Return whether the kernel tells the state of a connection just accepted."""
    return read_peer_state(sock) is not None


class PeerProgress:
    """How long a caller has taken nothing of a response."""

    __slots__ = ("_acked_bytes", "_checked_s", "_pause_s")

    def __init__(self) -> None:
        # None before the first check of a response.
        self._acked_bytes: int | None = None
        self._checked_s = 0.0
        self._pause_s = 0.0

    def begin_response(self) -> None:
        """Forget what was seen of an earlier response."""
        self._acked_bytes = None

    def judge(self, state: PeerState, unsent_bytes: int, now_s: float) -> str | None:
        """Return why the connection has to be closed, or None."""
        interval_s = min(now_s - self._checked_s, MAX_CHECK_INTERVAL_S)
        self._checked_s = now_s
        is_outstanding = state.is_outstanding or unsent_bytes > 0
        if state.acked_bytes != self._acked_bytes or not is_outstanding:
            self._acked_bytes, self._pause_s = state.acked_bytes, 0.0
            return None
        self._pause_s += interval_s
        if state.unanswered >= MAX_UNANSWERED:
            return SILENT
        return UNREAD if self._pause_s >= MAX_PAUSE_S else None
