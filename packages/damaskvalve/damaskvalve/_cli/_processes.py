"""Commands that run a host, check settings and make identities."""

import datetime
from pathlib import Path
from typing import Annotated

import cappa

from damaskvalve._cli._common import EXIT_OK, SettingsPath, run_reporting_errors


def serve(settings: SettingsPath) -> int:
    """Run the roles that the settings name, until SIGTERM."""
    from damaskvalve._host import serve_host

    return serve_host(settings)


def check_settings(settings: SettingsPath) -> int:
    """Check a host's settings file and print every finding."""

    def work() -> int:
        from damaskvalve._settings import read_settings

        read_settings(settings)
        print(f"{settings}: no findings")
        return EXIT_OK

    return run_reporting_errors(work)


def make_identity(
    folder: Annotated[Path, cappa.Arg(long="--folder", help="where the files go")],
    names: Annotated[list[str], cappa.Arg(help="one name for each process")],
) -> int:
    """Make certificates; the authority is made first if there is none."""

    def work() -> int:
        from damaskvalve._identity import (
            AUTHORITY_KEY_FILE,
            make_authority,
            make_identity,
        )

        issued_at = datetime.datetime.now(datetime.timezone.utc)
        if not (folder / AUTHORITY_KEY_FILE).exists():
            make_authority(folder, issued_at)
        for name in names:
            make_identity(folder, name, issued_at)
        return EXIT_OK

    return run_reporting_errors(work)
