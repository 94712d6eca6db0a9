"""The command that shows the merged time line of many processes."""

from pathlib import Path
from typing import Annotated

import cappa

from damaskvalve._cli._common import EXIT_FAILED, EXIT_OK, run_reporting_errors
from damaskvalve._time_line_view import (
    read_events,
    render_page,
    render_text,
    select_events,
)


def time_line(
    folders: Annotated[
        list[Path], cappa.Arg(help="data folders, their parent, or files with logs")
    ],
    request: Annotated[str, cappa.Arg(long=True, help="a request's id")] = "",
    workspace: Annotated[str, cappa.Arg(long=True, help="a workspace")] = "",
    backend: Annotated[str, cappa.Arg(long=True, help="a backend server")] = "",
    job: Annotated[str, cappa.Arg(long=True, help="a deferred job")] = "",
    page: Annotated[
        Path | None, cappa.Arg(long=True, help="write an HTML page here")
    ] = None,
) -> int:
    """Show what happened, over all processes, in one order."""

    def work() -> int:
        options = {
            "request": request,
            "workspace": workspace,
            "backend_server": backend,
            "job": job,
        }
        criteria = {name: value for name, value in options.items() if value}
        events = select_events(read_events(folders), criteria)
        if page is not None:
            title = " ".join(f"{name} {value}" for name, value in criteria.items())
            page.write_text(render_page(events, title or "all events"))
            print(f"written to {page}")
        else:
            print(render_text(events), end="")
        return EXIT_OK if events else EXIT_FAILED

    return run_reporting_errors(work)
