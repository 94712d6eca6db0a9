"""What the host program and the agent share: settings, errors, messages, time line."""

from damaskvalve_core._background import repeating
from damaskvalve_core._channel import (
    Connection,
    Dialer,
    Identity,
    dialing,
    listening,
    split_address,
)
from damaskvalve_core._clock import HybridClock, stamp_to_wall_s
from damaskvalve_core._codec import (
    copy_struct,
    decode_message,
    decode_struct,
    encode_message,
    encode_struct,
)
from damaskvalve_core._exceptions import (
    NOT_RUN,
    RAN,
    UNKNOWN,
    ChannelError,
    DamagedJournalError,
    DamaskvalveError,
    Finding,
    NotSentError,
    OperatorError,
    ProtocolError,
    RefusedError,
    RetryLaterError,
    SettingsError,
    SilenceError,
)
from damaskvalve_core._leader_client import LeaderClient
from damaskvalve_core._logs import logging_to
from damaskvalve_core._process import run_from_settings
from damaskvalve_core._time_line import (
    TIME_LINE_FILE,
    Recorder,
    discard_event,
    open_time_line,
)

__all__ = [
    "NOT_RUN",
    "RAN",
    "TIME_LINE_FILE",
    "UNKNOWN",
    "ChannelError",
    "Connection",
    "DamagedJournalError",
    "DamaskvalveError",
    "Dialer",
    "Finding",
    "HybridClock",
    "Identity",
    "LeaderClient",
    "NotSentError",
    "OperatorError",
    "ProtocolError",
    "Recorder",
    "RefusedError",
    "RetryLaterError",
    "SettingsError",
    "SilenceError",
    "copy_struct",
    "decode_message",
    "decode_struct",
    "dialing",
    "discard_event",
    "encode_message",
    "encode_struct",
    "listening",
    "logging_to",
    "open_time_line",
    "repeating",
    "run_from_settings",
    "split_address",
    "stamp_to_wall_s",
]
