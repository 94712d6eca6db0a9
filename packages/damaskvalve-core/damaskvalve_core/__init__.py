"""Code shared by hosts and agents: settings, errors, messages, RPC, logs and clocks."""

from damaskvalve_core._background import run_at_most, running_periodically
from damaskvalve_core._boot_clock import boot_clock_s
from damaskvalve_core._buffer_budget import (
    BufferBudget,
    BufferBudgetExceededError,
    BufferReservation,
)
from damaskvalve_core._channel import (
    Connection,
    Dialer,
    Identity,
    dialing,
    enable_keepalive,
    listening,
    split_address,
)
from damaskvalve_core._clock import HybridClock, stamp_to_wall_s, wall_s_to_stamp
from damaskvalve_core._codec import (
    copy_struct,
    decode_message,
    decode_struct,
    encode_message,
    encode_struct,
)
from damaskvalve_core._decision_log import DecisionLog, decision_log, is_sampled
from damaskvalve_core._exceptions import (
    NOT_RUN,
    RAN,
    UNKNOWN,
    ChannelError,
    CorruptJournalError,
    DamaskvalveError,
    EncodingError,
    Finding,
    NotSentError,
    OperatorError,
    ProtocolError,
    ReceiveTimeoutError,
    RefusedError,
    RetryLaterError,
    SettingsError,
)
from damaskvalve_core._leader_client import MAX_LEARNED_ADDRESSES, LeaderClient
from damaskvalve_core._logs import logging_to
from damaskvalve_core._planned_stop import (
    DEFAULT_GRACE_S,
    MAX_GRACE_S,
    MIN_GRACE_S,
    PlannedStop,
    watch_planned_stop,
)
from damaskvalve_core._process import run_from_settings
from damaskvalve_core._reload_signal import log_reloads
from damaskvalve_core._reply_status import MIN_FINAL_STATUS, is_final_status
from damaskvalve_core._stop_signals import StopRequest, watch_stop_signals
from damaskvalve_core._time_line import (
    CLOSE_TIMEOUT_S,
    TIME_LINE_FILE,
    Recorder,
    discard_event,
    open_time_line,
)

__all__ = [
    "CLOSE_TIMEOUT_S",
    "DEFAULT_GRACE_S",
    "MAX_GRACE_S",
    "MIN_FINAL_STATUS",
    "MIN_GRACE_S",
    "NOT_RUN",
    "RAN",
    "TIME_LINE_FILE",
    "UNKNOWN",
    "BufferBudget",
    "BufferBudgetExceededError",
    "BufferReservation",
    "ChannelError",
    "Connection",
    "CorruptJournalError",
    "DamaskvalveError",
    "EncodingError",
    "DecisionLog",
    "Dialer",
    "Finding",
    "HybridClock",
    "Identity",
    "LeaderClient",
    "MAX_LEARNED_ADDRESSES",
    "NotSentError",
    "OperatorError",
    "PlannedStop",
    "ProtocolError",
    "ReceiveTimeoutError",
    "Recorder",
    "RefusedError",
    "RetryLaterError",
    "SettingsError",
    "StopRequest",
    "boot_clock_s",
    "copy_struct",
    "decision_log",
    "decode_message",
    "decode_struct",
    "dialing",
    "discard_event",
    "enable_keepalive",
    "encode_message",
    "encode_struct",
    "is_final_status",
    "is_sampled",
    "listening",
    "log_reloads",
    "logging_to",
    "open_time_line",
    "run_at_most",
    "run_from_settings",
    "running_periodically",
    "split_address",
    "stamp_to_wall_s",
    "wall_s_to_stamp",
    "watch_planned_stop",
    "watch_stop_signals",
]
