"""Measures errors and costs of the detection of requests that crash their servers.

The first table has the errors of both kinds for servers that run 1, 8 and 24 requests
at once, with 1 or 12 crashing requests among sound ones: the servers that each crashing
request has ended and the sound requests that were refused. The first table compares a
rule that only counts crashes with the crash tracker of the gateway ("book").

The second table has what hosts and the leader send and compute when a thousand
different requests break in one second. The size of a full crash tracker follows.
"""

import asyncio
import time
import tracemalloc
import types

from damaskvalve_core import boot_clock_s, encode_struct
from damaskvalve_core.messages import Command, CrashNotice
from damaskvalve_gateway._cluster_view import ClusterView
from damaskvalve_gateway._crash_controller import CrashController
from damaskvalve_gateway._crashes import ENDED, MAX_FINGERPRINTS, CrashTracker
from damaskvalve_gateway._quarantine import updated_statuses
from damaskvalve_gateway.tests.crash_simulation import CountingRule, simulate

SERVER_SLOTS = (1, 8, 24)
CRASHING_REQUESTS = (1, 12)
SEEDS = range(1, 9)
DECISION_RULES = (("counting", CountingRule), ("book", CrashTracker))
BROKEN_REQUESTS = 1_000
HOST_COUNTS = (8, 70, 410)
KIB = 1024
REQUESTS_PER_SERVER = 24
STARTED_AT_MS = 1_700_000_000_000


def print_errors() -> None:
    """Print the table of servers ended and sound requests refused."""
    print("| at once | crashing | rule | servers ended by each, mean, max | ", end="")
    print("sound requests refused | sound attempts refused |")
    print("| --- | --- | --- | --- | --- | --- |")
    for slots in SERVER_SLOTS:
        for crashing in CRASHING_REQUESTS:
            for name, make_rule in DECISION_RULES:
                replays = [
                    simulate(make_rule(), slots, crashing, seed) for seed in SEEDS
                ]
                ended = [count for replay in replays for count in replay.ended.values()]
                refused = sum(len(replay.refused) for replay in replays)
                sends = sum(replay.sends for replay in replays)
                refused_attempts = sum(replay.refused_sends for replay in replays)
                mean = sum(ended) / len(ended)
                print(
                    f"| {slots} | {crashing} | {name} | {mean:.2f}, {max(ended)} "
                    f"| {refused} | {refused_attempts} of {sends} |"
                )


class _Log:
    """A log that discards its lines."""

    def line(self, kind: str, **fields: object) -> None:
        """Discard a line."""


def _fingerprint(number: int) -> str:
    return f"{number:024x}"


def _server_incarnation(number: int, server_number: int) -> str:
    """Return the incarnation of a server that a request ends.

    Each group of ``REQUESTS_PER_SERVER`` requests ends the same servers.
    """
    return f"i-{number // REQUESTS_PER_SERVER * 3 + server_number:010x}"


def _measure_leader(broken_runs: int) -> tuple[int, float, list[int]]:
    """Run the leader's part for the broken runs that hosts report within one second.

    Return the bytes that hosts send to the leader, its processor time in seconds, and
    the bytes of each command that it commits to every host.
    """
    view = ClusterView()
    commands: list[int] = []
    records: dict[str, object] = {}

    async def commit(command: Command) -> None:
        commands.append(len(encode_struct(command)))
        for item in command.record_suspects.suspects:
            records[item.fingerprint] = item
        now_s = boot_clock_s()
        view.suspect_statuses = updated_statuses(view.suspect_statuses, records, now_s)

    status = types.SimpleNamespace(leader_id="L/1")
    state_client = types.SimpleNamespace(commit=commit, status=lambda: status)
    controller = CrashController(state_client, view, _Log())
    notices = [
        CrashNotice(
            _fingerprint(number),
            _server_incarnation(number, server_number),
            0.1,
            STARTED_AT_MS,
        )
        for number in range(BROKEN_REQUESTS)
        for server_number in range(broken_runs)
    ]
    sent_bytes = sum(len(encode_struct(notice)) for notice in notices)

    async def process_notices() -> float:
        cpu_started_s = time.process_time()
        now_s = boot_clock_s()
        controller.merge_reports(notices, {}, now_s)
        while True:
            commands_before = len(commands)
            view.crashes.settle(lambda start, since_s: ENDED, now_s)
            await controller._commit_changes(now_s)
            if len(commands) == commands_before:
                return time.process_time() - cpu_started_s

    return sent_bytes, asyncio.run(process_notices()), commands


def print_costs() -> None:
    """Print the costs of a thousand requests that break, and of a full tracker."""
    print(
        "| broken runs each | hosts | to the leader, KiB | from each host, KiB ", end=""
    )
    print("| commands | to each host, KiB | leader computes, s |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for broken_runs in (1, 3):
        sent_bytes, took_s, commands = _measure_leader(broken_runs)
        for hosts in HOST_COUNTS:
            print(
                f"| {broken_runs} | {hosts} | {sent_bytes / KIB:.1f} "
                f"| {sent_bytes / KIB / hosts:.2f} "
                f"| {len(commands)} | {sum(commands) / KIB:.1f} | {took_s:.3f} |"
            )
    tracemalloc.start()
    tracker = CrashTracker()
    for number in range(MAX_FINGERPRINTS):
        tracker.note_run(_fingerprint(number), (f"i-{number:010x}", STARTED_AT_MS), 1.0)
    broken_bytes, _ = tracemalloc.get_traced_memory()
    for number in range(MAX_FINGERPRINTS):
        tracker.note_served(_fingerprint(MAX_FINGERPRINTS + number), 1.0)
    total_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    cpu_started_s = time.process_time()
    tracker.settle(lambda start, since_s: ENDED, 2.0)
    settle_s = time.process_time() - cpu_started_s
    print()
    print(
        f"A full tracker: {broken_bytes / KIB:.0f} KiB "
        f"for {MAX_FINGERPRINTS} broken requests,"
    )
    print(f"{(total_bytes - broken_bytes) / KIB:.0f} KiB for as many that ended well;")
    print(f"one pass over all of it: {settle_s:.4f} s of a core.")


def main() -> None:
    """Print both tables and the costs of a full tracker."""
    print_errors()
    print()
    print_costs()


if __name__ == "__main__":
    main()
