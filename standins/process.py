"""A node as a process of its own, with its log in a file."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from standins.platform import config

ROOT = Path(__file__).resolve().parent.parent
LIMIT_S = 20.0  # a hang, not a measure


class NodeProcess:
    """Start, watch and end one node. It keeps its port over restarts, as a front expects."""

    def __init__(self, folder: Path, known: dict[str, object], discovery: int, **over: Any) -> None:
        """`over` goes into the configuration, see `platform.config`."""
        self.folder = folder
        self.known = known
        self.discovery = discovery
        self.over = over
        self.port = 0
        self.starts = 0
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def log(self) -> Path:
        return self.folder / f"node-{self.starts}.log"

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid

    def start(self, environ: Mapping[str, str] | None = None) -> None:
        """Start it and wait until it listens; RuntimeError with its log where it does not."""
        self.starts += 1
        told = config(self.folder, self.known, self.discovery, self.port, **self.over)
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-B", "-m", "windrelay"],
                cwd=ROOT,
                env=os.environ | told | dict(environ or {}),
                stderr=log,
            )
        end = time.monotonic() + LIMIT_S
        while time.monotonic() < end and self.process.poll() is None:
            for line in self.log.read_text(errors="replace").splitlines(keepends=True):
                if "listening on" in line and line.endswith("\n"):
                    self.port = int(line.rsplit(":", 1)[1])
                    return
            time.sleep(0.005)
        self.kill()
        raise RuntimeError(f"the node did not start: {self.log.read_text(errors='replace')}")

    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def term(self) -> None:
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)

    def wait(self) -> int:
        assert self.process is not None
        return self.process.wait(LIMIT_S)

    def stop(self) -> int:
        """SIGTERM, and its exit code; TimeoutExpired where it does not end."""
        self.term()
        return self.wait()

    def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait(LIMIT_S)

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    def text(self) -> str:
        return self.log.read_text(errors="replace")
