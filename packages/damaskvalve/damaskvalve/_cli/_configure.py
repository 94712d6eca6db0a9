"""Commands that change the configuration."""

import json
import secrets
from collections.abc import Sequence
from typing import Annotated

import cappa

from damaskvalve._cli._common import (
    EXIT_FAILED,
    EXIT_OK,
    AsJson,
    OperatorPath,
    Wait,
    run_reporting_errors,
)
from damaskvalve._configuration import (
    ADAPTER,
    DRAIN,
    KEY,
    OPERATOR,
    ROUTE,
    WORKSPACE,
    key_digest,
)
from damaskvalve._operator import (
    OperatorClient,
    RowChange,
    operator_client,
    row_value,
)
from damaskvalve._settings import read_operator_settings
from damaskvalve_core import OperatorError

KEY_BYTES = 32

Name = Annotated[str, cappa.Arg(help="its name")]
Expected = Annotated[
    int | None, cappa.Arg(long="--expected-revision", help="refuse if it is another")
]
OperationId = Annotated[
    str | None, cappa.Arg(long="--operation-id", help="makes a resend harmless")
]


def report_revision(client: OperatorClient, revision: int, wait: bool) -> int:
    """Print a revision, wait for it if asked to, and return the exit code."""
    print(f"revision {revision}")
    if not wait:
        return EXIT_OK
    outdated = client.wait_in_force(revision)
    if outdated:
        names = ", ".join(outdated)
        print(f"not in force yet at: {names}")
        return EXIT_FAILED
    print("in force everywhere")
    return EXIT_OK


def _change(
    operator: OperatorPath,
    rows: Sequence[RowChange],
    wait: bool,
    expected: int | None = None,
    operation_id: str | None = None,
) -> int:
    def work() -> int:
        with operator_client(read_operator_settings(operator)) as client:
            revision = client.change(
                rows, expected_revision=expected, operation_id=operation_id
            )
            return report_revision(client, revision, wait)

    return run_reporting_errors(work)


def set_workspace(
    operator: OperatorPath,
    name: Name,
    share: Annotated[float, cappa.Arg(long=True, help="weight among workspaces")],
    rate: Annotated[float, cappa.Arg(long=True, help="tokens a second, fleet-wide")],
    burst: Annotated[float, cappa.Arg(long=True, help="tokens at once")],
    unit: Annotated[
        str, cappa.Arg(long=True, help="tokens or delivered_requests")
    ] = "tokens",
    max_concurrent: Annotated[
        int, cappa.Arg(long=True, help="requests at a time and entry host")
    ] = 64,
    max_jobs: Annotated[int, cappa.Arg(long=True, help="waiting deferred jobs")] = 1000,
    expected: Expected = None,
    operation_id: OperationId = None,
    wait: Wait = False,
) -> int:
    """Create a workspace or change its share, rate and burst."""
    value = {
        "share": share,
        "rate_tokens_per_s": rate,
        "burst_tokens": burst,
        "service_unit": unit,
        "max_concurrent": max_concurrent,
        "max_jobs": max_jobs,
    }
    rows: list[RowChange] = [(WORKSPACE, name, value)]
    return _change(operator, rows, wait, expected, operation_id)


def grant_key(
    operator: OperatorPath,
    workspace: Annotated[str, cappa.Arg(help="the workspace it speaks for")],
    label: Annotated[str, cappa.Arg(long=True, help="who holds it")] = "caller",
    as_json: AsJson = False,
    wait: Wait = False,
) -> int:
    """Grant a new key; it is shown once and kept as a digest only."""

    def work() -> int:
        key = "dv-" + secrets.token_urlsafe(KEY_BYTES)
        digest = key_digest(key)
        with operator_client(read_operator_settings(operator)) as client:
            rows = client.read("rows", WORKSPACE)
            if row_value(rows, WORKSPACE, workspace) is None:
                raise OperatorError(f"there is no workspace {workspace!r}")
            value = {"workspace": workspace, "label": label}
            revision = client.change([(KEY, digest, value)])
            if as_json:
                print(json.dumps({"key": key, "digest": digest, "revision": revision}))
                if wait:
                    client.wait_in_force(revision)
                return EXIT_OK
            print(f"key {key}")
            print(f"digest {digest}")
            return report_revision(client, revision, wait)

    return run_reporting_errors(work)


def withdraw_key(
    operator: OperatorPath,
    digest: Annotated[str, cappa.Arg(help="the key's digest, or its start")],
    wait: Wait = False,
) -> int:
    """Withdraw a key; running streams of it end too."""

    def work() -> int:
        with operator_client(read_operator_settings(operator)) as client:
            rows = client.read("rows", KEY).rows
            found = [row.key for row in rows if row.key.startswith(digest)]
            if len(found) != 1:
                raise OperatorError(
                    f"{len(found)} keys start with {digest!r}, expected 1"
                )
            return report_revision(client, client.change([(KEY, found[0], None)]), wait)

    return run_reporting_errors(work)


def set_adapter(
    operator: OperatorPath,
    workspace: Annotated[str, cappa.Arg(help="who may use it")],
    adapter: Annotated[str, cappa.Arg(help="the adapter's name")],
    model: Annotated[str, cappa.Arg(long=True, help="its base model")],
    versions: Annotated[list[str], cappa.Arg(long="--version", help="allowed version")],
    current: Annotated[
        str | None, cappa.Arg(long=True, help="used when none is named")
    ] = None,
    wait: Wait = False,
) -> int:
    """Allow a workspace to use an adapter in the given versions."""
    value = {
        "model": model,
        "versions": list(versions),
        "current": current or versions[-1],
    }
    return _change(operator, [(ADAPTER, f"{workspace}/{adapter}", value)], wait)


def set_route(
    operator: OperatorPath,
    path: Annotated[str, cappa.Arg(help="such as /services/desk")],
    kind: Annotated[str, cappa.Arg(long=True, help="repeatable, once, deferred, open")],
    backend_kind: Annotated[str, cappa.Arg(long=True, help="engine or service")],
    serves: Annotated[str, cappa.Arg(long=True, help="model or service name")] = "",
    cost: Annotated[float, cappa.Arg(long=True, help="tokens a call costs")] = 0.0,
    weight: Annotated[float, cappa.Arg(long=True, help="weight of a request")] = 1.0,
    deadline: Annotated[float, cappa.Arg(long=True, help="seconds")] = 30.0,
    wait: Wait = False,
) -> int:
    """Create or change a route."""
    value = {
        "kind": kind,
        "backend_kind": backend_kind,
        "serves": serves,
        "cost_tokens": cost,
        "weight": weight,
        "deadline_s": deadline,
    }
    return _change(operator, [(ROUTE, path, value)], wait)


def drain(
    operator: OperatorPath,
    backend_server: Annotated[str, cappa.Arg(help="its name")],
    reason: Annotated[str, cappa.Arg(long=True, help="why")] = "maintenance",
    wait: Wait = False,
) -> int:
    """Give a backend server no new work."""
    return _change(operator, [(DRAIN, backend_server, {"reason": reason})], wait)


def return_backend(
    operator: OperatorPath,
    backend_server: Annotated[str, cappa.Arg(help="its name")],
    wait: Wait = False,
) -> int:
    """Give a drained backend server work again."""
    return _change(operator, [(DRAIN, backend_server, None)], wait)


def delete_row(
    operator: OperatorPath,
    table: Annotated[str, cappa.Arg(help="workspace, adapter, route, ...")],
    key: Annotated[str, cappa.Arg(help="its name")],
    wait: Wait = False,
) -> int:
    """Delete one row of the configuration."""
    return _change(operator, [(table, key, None)], wait)


def grant_operator(
    operator: OperatorPath,
    name: Name,
    role: Annotated[str, cappa.Arg(long=True, help="read or change")] = "read",
    wait: Wait = False,
) -> int:
    """Grant a key for the administration API; it is shown once."""

    def work() -> int:
        key = "dvo-" + secrets.token_urlsafe(KEY_BYTES)
        value = {"name": name, "role": role}
        with operator_client(read_operator_settings(operator)) as client:
            revision = client.change([(OPERATOR, key_digest(key), value)])
            print(f"operator key {key}")
            return report_revision(client, revision, wait)

    return run_reporting_errors(work)
