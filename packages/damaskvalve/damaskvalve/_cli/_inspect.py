"""Commands that show the state, settle claims and release suspect requests."""

import json
from typing import Annotated

import cappa

from damaskvalve._cli._common import (
    EXIT_FAILED,
    EXIT_OK,
    AsJson,
    OperatorPath,
    run_reporting_errors,
)
from damaskvalve._operator import operator_client, print_table
from damaskvalve._settings import read_operator_settings
from damaskvalve_core import NOT_RUN, RAN
from damaskvalve_core.messages import ClearSuspect, Command, ResolveOnce


def status(operator: OperatorPath, as_json: AsJson = False) -> int:
    """Show the control hosts and which hosts have the newest revision."""

    def work() -> int:
        with operator_client(read_operator_settings(operator)) as client:
            replies = client.read_from_all("status")
        host_rows: list[tuple[object, ...]] = []
        subscribers: dict[str, tuple[float, int, str]] = {}
        for address, reply in replies.items():
            if reply is None:
                host_rows.append((address, "no answer", "", "", "", ""))
                continue
            role = "leader" if reply.leader_address == address else "follower"
            fresh = "yes" if reply.fresh else "no"
            host_rows.append(
                (
                    address,
                    role,
                    fresh,
                    reply.revision,
                    reply.commit_index,
                    len(reply.members),
                )
            )
            for item in reply.subscribers:
                previous = subscribers.get(item.subscriber)
                if previous is None or item.age_s < previous[0]:
                    subscribers[item.subscriber] = (
                        item.age_s,
                        item.revision,
                        item.data_centre,
                    )
        header = ("control host", "role", "fresh", "revision", "commit", "voters")
        subscriber_rows = [
            (name, data_centre, revision, round(age_s, 1))
            for name, (age_s, revision, data_centre) in sorted(subscribers.items())
        ]
        if as_json:
            print(
                json.dumps({"control_hosts": host_rows, "subscribers": subscriber_rows})
            )
        else:
            print_table(header, host_rows)
            print()
            print_table(
                ("subscriber", "data centre", "revision", "heard s ago"),
                subscriber_rows,
            )
        return (
            EXIT_OK if any(reply and reply.fresh for reply in replies.values()) else 1
        )

    return run_reporting_errors(work)


def show_rows(
    operator: OperatorPath,
    table: Annotated[str, cappa.Arg(help="only this table")] = "",
    as_json: AsJson = False,
) -> int:
    """Show the configuration."""

    def work() -> int:
        with operator_client(read_operator_settings(operator)) as client:
            reply = client.read("rows", table)
        found = [(row.table, row.key, row.revision, row.value) for row in reply.rows]
        if as_json:
            print(json.dumps({"revision": reply.revision, "rows": found}))
            return EXIT_OK
        print(f"revision {reply.revision}")
        print_table(("table", "key", "revision", "value"), sorted(found))
        return EXIT_OK

    return run_reporting_errors(work)


def audit(operator: OperatorPath) -> int:
    """Show who changed what."""

    def work() -> int:
        with operator_client(read_operator_settings(operator)) as client:
            reply = client.read("audit")
        found = [(item.revision, item.actor, item.summary) for item in reply.audit]
        print_table(("revision", "operator", "what"), found)
        return EXIT_OK

    return run_reporting_errors(work)


def claims(operator: OperatorPath) -> int:
    """Show claims whose outcome is not known."""

    def work() -> int:
        with operator_client(read_operator_settings(operator)) as client:
            reply = client.read("claims")
        found = [(item.claim_id, item.holder, item.index) for item in reply.claims]
        print_table(("claim", "request", "index"), found)
        return EXIT_OK

    return run_reporting_errors(work)


def resolve_claim(
    operator: OperatorPath,
    claim_id: Annotated[str, cappa.Arg(help="the claim")],
    outcome: Annotated[str, cappa.Arg(help="ran or not-run", choices=[RAN, NOT_RUN])],
) -> int:
    """Settle an unknown claim after looking at the backend server."""

    def work() -> int:
        settings = read_operator_settings(operator)
        with operator_client(settings) as client:
            command = Command(
                resolve=ResolveOnce(claim_id, outcome == RAN, settings.name)
            )
            result = client.commit(command)
        print("settled" if result.accepted else f"refused: {result.reason}")
        return EXIT_OK if result.accepted else EXIT_FAILED

    return run_reporting_errors(work)


def suspects(operator: OperatorPath) -> int:
    """Show requests that crashed backend servers."""

    def work() -> int:
        with operator_client(read_operator_settings(operator)) as client:
            reply = client.read("suspects")
        found = [
            (item.fingerprint, item.crashes, "yes" if item.quarantined else "no")
            for item in reply.suspects
        ]
        print_table(("fingerprint", "crashes", "quarantined"), found)
        return EXIT_OK

    return run_reporting_errors(work)


def release_suspect(
    operator: OperatorPath,
    fingerprint: Annotated[str, cappa.Arg(help="as shown by suspects")],
) -> int:
    """Take a request out of quarantine."""

    def work() -> int:
        with operator_client(read_operator_settings(operator)) as client:
            result = client.commit(Command(clear=ClearSuspect(fingerprint)))
        print("released" if result.accepted else "not found")
        return EXIT_OK if result.accepted else EXIT_FAILED

    return run_reporting_errors(work)
