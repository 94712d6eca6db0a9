"""One process of a fleet under test."""

import os
import signal
import subprocess
from collections.abc import Sequence
from pathlib import Path

STOP_TIMEOUT_S = 15.0


class Process:
    """One started process that can be stopped, killed, frozen and restarted."""

    def __init__(self, name: str, arguments: Sequence[str], folder: Path) -> None:
        self.name = name
        self._arguments = list(arguments)
        self.log_path = folder / f"{name}.log"
        self._popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start it; its output is appended to its log file."""
        with self.log_path.open("ab") as log:
            self._popen = subprocess.Popen(self._arguments, stdout=log, stderr=log)

    @property
    def pid(self) -> int:
        """Return its process id."""
        assert self._popen is not None
        return self._popen.pid

    def signal(self, number: int) -> None:
        """Send it a signal if it runs."""
        if self._popen is not None and self._popen.poll() is None:
            os.kill(self._popen.pid, number)

    def kill(self) -> None:
        """End it at once."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.wait()

    def terminate(self) -> None:
        """Ask it to shut down gracefully."""
        self.signal(signal.SIGTERM)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for its end and return the exit code."""
        assert self._popen is not None
        return self._popen.wait(timeout_s)

    def is_running(self) -> bool:
        """Return whether it runs."""
        return self._popen is not None and self._popen.poll() is None

    def has_failed(self) -> bool:
        """Return whether it ended by itself with an error."""
        if self._popen is None or self._popen.poll() is None:
            return False
        return self._popen.returncode > 0

    def log_tail(self) -> str:
        """Return the end of its log."""
        return self.log_path.read_text(errors="replace")[-1500:]

    def resident_kb(self) -> int:
        """Return its resident memory."""
        status = Path(f"/proc/{self.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
        return 0

    def cpu_s(self) -> float:
        """Return the processor time that it has used."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
