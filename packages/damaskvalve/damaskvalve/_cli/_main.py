"""The command tree of the ``damaskvalve`` program."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, Union

import cappa

from damaskvalve._cli import (
    _configure,
    _evacuate,
    _inspect,
    _processes,
    _team,
    _time_line,
)


def _commands(functions: Mapping[str, Callable[..., int]]) -> list[Any]:
    return [cappa.command(name=name)(function) for name, function in functions.items()]


def _group(name: str, help: str, members: Sequence[Any]) -> Any:
    """Return a command that groups other commands."""
    choice: Any = Union[tuple(members)]
    subcommands: Any = cappa.Subcommands
    namespace = {
        "__annotations__": {"command": subcommands[choice]},
        "__doc__": help,
    }
    return cappa.command(name=name, help=help)(type(name, (), namespace))


_PROCESSES = _commands(
    {
        "serve": _processes.serve,
        "check-settings": _processes.check_settings,
        "make-identity": _processes.make_identity,
        "timeline": _time_line.time_line,
    }
)
_CONFIG = _group(
    "config",
    "Change and show the configuration.",
    _commands(
        {
            "status": _inspect.status,
            "show": _inspect.show_rows,
            "audit": _inspect.audit,
            "set-workspace": _configure.set_workspace,
            "set-adapter": _configure.set_adapter,
            "set-route": _configure.set_route,
            "delete": _configure.delete_row,
        }
    ),
)
_KEYS = _group(
    "key",
    "Grant and withdraw keys.",
    _commands(
        {
            "grant": _configure.grant_key,
            "withdraw": _configure.withdraw_key,
            "grant-operator": _configure.grant_operator,
        }
    ),
)
_BACKENDS = _group(
    "backend",
    "Drain and return backend servers.",
    _commands({"drain": _configure.drain, "return": _configure.return_backend}),
)
_EVACUATIONS = _commands(
    {
        "evacuate": _evacuate.evacuate,
        "end-evacuation": _evacuate.end_evacuation,
        "evacuations": _evacuate.evacuations,
    }
)
_WORK = _group(
    "work",
    "Settle unknown claims and quarantined requests.",
    _commands(
        {
            "claims": _inspect.claims,
            "resolve": _inspect.resolve_claim,
            "suspects": _inspect.suspects,
            "release": _inspect.release_suspect,
        }
    ),
)
_QUESTIONNAIRE = _group(
    "questionnaire",
    "Fill in a new team's questionnaire and put it in force.",
    _commands({"ask": _team.ask, "generate": _team.generate, "apply": _team.apply}),
)
_ALL = [*_PROCESSES, _CONFIG, _KEYS, _BACKENDS, *_EVACUATIONS, _WORK, _QUESTIONNAIRE]
Application = _group(
    "damaskvalve", "A serving layer for very many LoRA adapters.", _ALL
)


def run_command() -> int:
    """Run one command and return its exit code."""
    code: int = cappa.invoke(Application)
    return code
