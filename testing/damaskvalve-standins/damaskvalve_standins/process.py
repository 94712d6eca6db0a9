"""One process of a fleet under test."""

import os
import signal
import subprocess
from collections.abc import Sequence
from pathlib import Path

STOP_TIMEOUT_S = 15.0


class Process:
    """A child process that can be stopped, killed, suspended and restarted."""

    def __init__(self, name: str, arguments: Sequence[str], folder: Path) -> None:
        self.name = name
        self._arguments = list(arguments)
        self.log_path = folder / f"{name}.log"
        self._popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process and append its output to its log file."""
        with self.log_path.open("ab") as log:
            self._popen = subprocess.Popen(self._arguments, stdout=log, stderr=log)

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self._popen is not None
        return self._popen.pid

    def signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self._popen is not None and self._popen.poll() is None:
            os.kill(self._popen.pid, number)

    def kill(self) -> None:
        """Kill the process, also a suspended one, and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.wait()

    def terminate(self) -> None:
        """Request a graceful shutdown."""
        self.signal(signal.SIGTERM)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until the process ends and return its exit code."""
        assert self._popen is not None
        return self._popen.wait(timeout_s)

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._popen is not None and self._popen.poll() is None

    def has_failed(self) -> bool:
        """Return whether the process exited with an error code, not by a signal."""
        if self._popen is None or self._popen.poll() is None:
            return False
        return self._popen.returncode > 0

    def log_tail(self) -> str:
        """Return the last 1500 characters of the log file."""
        return self.log_path.read_text(errors="replace")[-1500:]

    def resident_kb(self) -> int:
        """Return the resident memory in KiB, or 0 if the system reports none."""
        status = Path(f"/proc/{self.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
        return 0

    def cpu_s(self) -> float:
        """Return the processor time that the process has used."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
