"""Commands that evacuate data centres, end evacuations and list them."""

import json
import sys
import time
from collections.abc import Mapping
from datetime import datetime, timezone
from typing import Annotated

import cappa

from damaskvalve._cli._common import (
    EXIT_OK,
    EXIT_USAGE,
    AsJson,
    OperatorPath,
    Wait,
    run_reporting_errors,
)
from damaskvalve._cli._configure import report_revision
from damaskvalve._configuration import EVACUATION
from damaskvalve._operator import (
    ConflictError,
    OperatorClient,
    operator_client,
    print_table,
    row_value,
)
from damaskvalve._settings import read_operator_settings

DataCentre = Annotated[str, cappa.Arg(help="its name")]
# Other operators may change other rows at the same time.
MAX_ATTEMPTS = 5


def _put_in_force(
    client: OperatorClient, data_centre: str, value: Mapping[str, object] | None
) -> int:
    """Write or delete the order for a data centre; return the revision that has it.

    An order that is in force already stays as it is, with who gave it.
    """
    attempts = 0
    while True:
        attempts += 1
        reply = client.read("rows", EVACUATION)
        is_in_force = row_value(reply, EVACUATION, data_centre) is not None
        if is_in_force == (value is not None):
            return int(reply.revision)
        try:
            return client.change(
                [(EVACUATION, data_centre, value)], expected_revision=reply.revision
            )
        except ConflictError:
            if attempts == MAX_ATTEMPTS:
                raise


def evacuate(
    operator: OperatorPath, data_centre: DataCentre, wait: Wait = False
) -> int:
    """Give the backend servers of a data centre no new work."""

    def work() -> int:
        settings = read_operator_settings(operator)
        with operator_client(settings) as client:
            known = client.read("status").data_centres
            if known is not None and data_centre not in known:
                print(
                    f"error: no host or backend server is in data centre "
                    f"{data_centre!r}; known are {', '.join(known)}",
                    file=sys.stderr,
                )
                return EXIT_USAGE
            value = {"ordered_by": settings.name, "since_s": time.time()}
            revision = _put_in_force(client, data_centre, value)
            return report_revision(client, revision, wait)

    return run_reporting_errors(work)


def end_evacuation(
    operator: OperatorPath, data_centre: DataCentre, wait: Wait = False
) -> int:
    """Give the backend servers of an evacuated data centre work again."""

    def work() -> int:
        with operator_client(read_operator_settings(operator)) as client:
            revision = _put_in_force(client, data_centre, None)
            return report_revision(client, revision, wait)

    return run_reporting_errors(work)


def evacuations(operator: OperatorPath, as_json: AsJson = False) -> int:
    """Show the evacuated data centres, who ordered it, and since when."""

    def work() -> int:
        with operator_client(read_operator_settings(operator)) as client:
            reply = client.read("rows", EVACUATION)
        found = []
        for row in sorted(reply.rows, key=lambda item: item.key):
            value = json.loads(row.value)
            since = datetime.fromtimestamp(value["since_s"], timezone.utc)
            since_text = since.isoformat(timespec="seconds")
            found.append((row.key, value["ordered_by"], since_text))
        if as_json:
            print(json.dumps({"revision": reply.revision, "evacuations": found}))
        else:
            print_table(("data centre", "ordered by", "since"), found)
        return EXIT_OK

    return run_reporting_errors(work)
