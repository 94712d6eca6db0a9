"""Place the packages that the processes import under target/deps.

Processes may start at any moment of a build, so what they import is never changed in
place. A folder that is named after its contents is filled beside it, and target/deps is
a symbolic link that is replaced by a rename. Nothing is done if the sources have not
changed.
"""

import hashlib
import os
import shutil
import tempfile
from collections.abc import Iterator
from pathlib import Path

PACKAGES = (
    "packages/damaskvalve-core/damaskvalve_core",
    "packages/damaskvalve-state/damaskvalve_state",
    "packages/damaskvalve-agent/damaskvalve_agent",
    "packages/damaskvalve-gateway/damaskvalve_gateway",
    "platform/damaskvalve_platform",
)
REQUIREMENTS = "deploy/requirements.txt"
# The build command installs the libraries there.
LIBRARIES = "target/libraries"
TARGET = "target"
CACHE = "__pycache__"
NAME_CHARACTERS = 16


def _source_files(root: Path) -> Iterator[Path]:
    yield root / REQUIREMENTS
    for package in PACKAGES:
        for path in sorted((root / package).rglob("*")):
            if path.is_file() and CACHE not in path.parts:
                yield path


def _folder_name(root: Path) -> str:
    """Return the name of the folder for the present sources."""
    digest = hashlib.sha256()
    for path in _source_files(root):
        content = path.read_bytes()
        digest.update(f"{path.relative_to(root)} {len(content)}\n".encode())
        digest.update(content)
    return f"deps-{digest.hexdigest()[:NAME_CHARACTERS]}"


def _fill(root: Path, folder: Path) -> None:
    shutil.copytree(root / LIBRARIES, folder, dirs_exist_ok=True)
    for package in PACKAGES:
        shutil.copytree(
            root / package,
            folder / Path(package).name,
            ignore=shutil.ignore_patterns(CACHE),
        )


def _make_folder(root: Path, name: str) -> None:
    """Make the folder whole under another name; another build may make it too."""
    target = root / TARGET
    new = Path(tempfile.mkdtemp(prefix="new-", dir=target))
    try:
        _fill(root, new)
        new.chmod(0o755)
        new.rename(target / name)
    except OSError:
        shutil.rmtree(new)
        if not (target / name).is_dir():
            raise


def _switch(target: Path, name: str) -> None:
    """Have target/deps lead to a folder, from one moment to the next."""
    link = target / "deps"
    new_link = target / f"deps.{os.getpid()}"
    new_link.symlink_to(name)
    if link.is_dir() and not link.is_symlink():
        # Placed by an earlier release. A link cannot replace a folder at once.
        link.rename(target / f"deps-before-{os.getpid()}")
    new_link.replace(link)


def place_packages(root: Path) -> None:
    """Place the libraries and the packages of a checkout under its target/deps."""
    target, name = root / TARGET, _folder_name(root)
    link = target / "deps"
    if not (target / name).is_dir():
        _make_folder(root, name)
    if not link.is_symlink() or os.readlink(link) != name:
        _switch(target, name)
    for folder in target.glob("deps-*"):
        if folder.name != name:
            shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    place_packages(Path.cwd())
