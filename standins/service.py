"""A hosted service as a process of its own, and those who run it: for tests, demo, benchmarks.

Nothing of the product is imported: it is started, told and asked as its operators would.
"""

from __future__ import annotations

import http.client
import json
import os
import re
import signal
import subprocess
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from standins.process import LIMIT_S, ROOT

LISTENERS = ("public",)

# In the log, whose lines several processes write: the number counts once something follows it.
READY_PROCESS = re.compile(r" is ready, process (\d+)(?=\D)")


class Answer(NamedTuple):
    """What the API said; `body` is its JSON, None where it had none."""

    status: int
    headers: dict[str, str]
    body: Any


class Operator:
    """A caller of the API with one key; a connection for each call."""

    def __init__(self, port: int, token: str) -> None:
        self.port = port
        self.token = token

    def call(
        self, method: str, path: str, body: object = None, match: str = "", **headers: str
    ) -> Answer:
        sent = {"Authorization": f"Bearer {self.token}"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        if match:
            sent["If-Match"] = match
        data = None
        if body is not None:
            data = json.dumps(body)
            sent.setdefault("Content-Type", "application/json")
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=LIMIT_S)
        try:
            connection.request(method, path, data, sent)
            response = connection.getresponse()
            text = response.read()
            names = {name.lower(): value for name, value in response.getheaders()}
            return Answer(response.status, names, json.loads(text) if text else None)
        finally:
            connection.close()

    def must(self, method: str, path: str, body: object = None, match: str = "*") -> Answer:
        """The same where it has to go well; RuntimeError with the problem where it does not."""
        answer = self.call(method, path, body, match)
        if answer.status >= 300:
            raise RuntimeError(f"{method} {path}: {answer.status} {answer.body}")
        return answer


def document(name: str, servers: Sequence[tuple[str, int]], **over: Any) -> dict[str, Any]:
    """A tenant with `balance` and `credit` over these servers (name and port)."""
    made: dict[str, Any] = {
        "name": name,
        "callers": {"hosts": [f"{name}.example.org"]},
        "classes": [
            {"name": "balance", "aim_ms": 1000, "deadline_ms": 2000, "repeat": "safe"},
            {
                "name": "credit",
                "aim_ms": 1000,
                "deadline_ms": 3000,
                "repeat": "never",
                "worth": 5.0,
            },
        ],
        "servers": [{"name": n, "address": f"127.0.0.1:{port}"} for n, port in servers],
    }
    return made | over


class ServiceProcess:
    """Start, watch and end one service. Its folder is kept over restarts."""

    def __init__(
        self,
        folder: Path,
        workers: int = 2,
        listeners: Sequence[str] = LISTENERS,
        rate_per_s: float = 10_000.0,
        iso: Sequence[str] = (),
        more: str = "",
        environ: Mapping[str, str] | None = None,
        administration: bool = True,
        traffic: bool = True,
    ) -> None:
        """`iso` are those of the listeners whose callers speak ISO 8583; `more` goes into its
        file as it is, `environ` on top of ours. A node of a larger service has no
        `administration`; a control machine serves no `traffic`, so it announces no listener."""
        self.more = more
        self.administration = administration
        self.traffic = traffic
        self.environ = environ or {}
        self.folder = folder
        self.workers = workers
        self.listeners = listeners
        self.rate_per_s = rate_per_s
        self.iso = iso
        self.ports: dict[str, int] = {}
        self.admin_port = 0
        self.process: subprocess.Popen[bytes] | None = None
        self.log = folder / "service.log"

    @property
    def port(self) -> int:
        return self.ports[self.listeners[0]]

    def start(self) -> None:
        """Until it serves; RuntimeError with its log where it does not come to that."""
        (self.folder / "service.toml").write_text(self.settings())
        begin = self.log.stat().st_size if self.log.exists() else 0
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-B",
                    "-m",
                    "tansywood",
                    "serve",
                    str(self.folder / "service.toml"),
                ],
                cwd=ROOT,
                stderr=log,
                stdout=log,
                env=os.environ | dict(self.environ),
                start_new_session=True,
            )
        end = time.monotonic() + LIMIT_S
        while time.monotonic() < end and self.process.poll() is None:
            for line in self.text()[begin:].splitlines(keepends=True):
                if line.startswith(self._announcement) and line.endswith("\n"):
                    self._read(line)
                    return
            time.sleep(0.01)
        self.kill()
        raise RuntimeError(f"the service did not start: {self.text()[-3000:]}")

    def settings(self) -> str:
        """The text of its file. Ports that it was given once are kept."""
        rows = "".join(
            f'[[listeners]]\nname = "{name}"\naddress = "127.0.0.1:{self.ports.get(name, 0)}"\n'
            + ('protocol = "iso8583"\n' if name in self.iso else "")
            for name in self.listeners
        )
        admin = (
            f'[admin]\naddress = "127.0.0.1:{self.admin_port}"\nrate_per_s = {self.rate_per_s}\n'
        )
        return (
            f'[service]\nrun = "run"\nstore = "state"\nworkers = {self.workers}\n{rows}'
            f"{admin if self.administration else ''}{self.more}"
        )

    @property
    def _announcement(self) -> str:
        """How the line begins that says that it does its work."""
        return "service: serving" if self.traffic else "service: publisher"

    def _read(self, line: str) -> None:
        for words in line.removeprefix("service: ").strip().split("; "):
            if words.startswith("administration at "):
                self.admin_port = int(words.rpartition(":")[2])
            elif words.startswith("serving "):
                self._read_listeners(words.removeprefix("serving "))

    def _read_listeners(self, words: str) -> None:
        for place in words.split(", "):
            name, _, address = place.partition(" at ")
            self.ports[name] = int(address.rpartition(":")[2])

    def operator(self) -> Operator:
        return Operator(self.admin_port, (self.folder / "run/operator.key").read_text().strip())

    def text(self) -> str:
        return self.log.read_text(errors="replace")

    def pid(self, part: str) -> int:
        """Of a part's present process, by what the log said last."""
        found = 0
        for line in self.text().splitlines():
            if line.startswith(f"service: {part} is ready, process "):
                found = int(line.rpartition(" ")[2])
        return found

    def pids(self) -> list[int]:
        """Every process of it that lives, the supervisor's included."""
        assert self.process is not None
        return [pid for pid in (self.process.pid, *self._children()) if alive(pid)]

    def _children(self) -> list[int]:
        return [int(pid) for pid in READY_PROCESS.findall(self.text())]

    def until_ready_again(self, part: str, than: int) -> None:
        end = time.monotonic() + LIMIT_S
        while self.pid(part) == than:
            if time.monotonic() > end:
                raise RuntimeError(f"{part} did not come back: {self.text()[-2000:]}")
            time.sleep(0.01)

    def stop(self) -> int:
        """SIGTERM, and its exit code."""
        assert self.process is not None
        self.process.terminate()
        return self.process.wait(LIMIT_S)

    def kill(self) -> None:
        """The end of it and of every part, whatever they do."""
        if self.process is not None:
            children = self._children()
            self.process.kill()
            self.process.wait(LIMIT_S)
            for pid in children:
                if alive(pid) and is_part(pid):
                    os.kill(pid, signal.SIGKILL)
            self.process = None


def alive(pid: int) -> bool:
    try:
        with open(f"/proc/{pid}/stat") as file:
            return file.read().rpartition(") ")[2][0] != "Z"
    except OSError:
        return False


def is_part(pid: int) -> bool:
    """Whether it is a process of the service: numbers are used again."""
    try:
        with open(f"/proc/{pid}/cmdline", "rb") as file:
            return b"tansywood" in file.read()
    except OSError:
        return False


def memory_mb(pid: int) -> float:
    """Resident, of which what is shared is counted in full."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / (1 << 20)


def cpu_s(pid: int) -> float:
    """Seconds of CPU that a process has used."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
