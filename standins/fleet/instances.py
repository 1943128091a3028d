"""Whole instances of the service as processes: started, provisioned, stopped, killed by the rig."""

from __future__ import annotations

import contextlib
import os
import shutil
import signal
import socket
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from standins.service import ServiceProcess, document

LIMIT_S = 20.0
INJECT = Path(__file__).parent / "inject"


_handed: list[socket.socket] = []


def free_port() -> int:
    """A UDP port that nobody has now, and that no other rig gets while this process runs.

    Between its closing here and an instance's opening it is nobody's, and rigs that start at once
    were given one port twice. The TCP port of the same number is kept as the mark.
    """
    while True:
        mark = socket.socket()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", 0))
            port = int(sock.getsockname()[1])
        try:
            mark.bind(("127.0.0.1", port))
        except OSError:
            mark.close()
            continue
        _handed.append(mark)
        return port


class FleetInstance:
    """One instance over all its lives."""

    def __init__(
        self,
        name: str,
        folder: Path,
        port: int,
        first: Sequence[int],
        key: str,
        via: int,
        clock: tuple[float, float] = (1.0, 0.0),
        fleet: bool = True,
        workers: int = 1,
        without: str = "",
        called: str = "",
        leases: str = "",
    ) -> None:
        """`port` is for datagrams, `first` are the homes'; `via` is the network's. `clock` is
        the rate of its monotonic clock and the seconds that its wall clock is ahead; `without`
        names defences that are taken out, see `inject`. `called` is what it calls itself in
        its file, where that is not its name here; `leases` are more lines of its section."""
        self.name = name
        self.folder = folder
        self.port = port
        self.up = False
        self.stopped = False
        self.token = ""
        folder.mkdir(parents=True, exist_ok=True)
        rows = ", ".join(f'"127.0.0.1:{p}"' for p in first)
        section = (
            f'[fleet]\nname = "rig"\ninstance = "{called or name}"\naddress = "127.0.0.1:{port}"\n'
            f'first = [{rows}]\nkey_file = "fleet.key"\n{leases}'
        )
        if fleet:
            path = folder / "fleet.key"
            path.write_text(key + "\n")
            path.chmod(0o600)
        self.disk = folder / "disk-fault"
        environ = {
            "PYTHONPATH": str(INJECT),
            "TANSYWOOD_RIG_VIA": f"127.0.0.1:{via}",
            "TANSYWOOD_RIG_DISK": str(self.disk),
            "TANSYWOOD_RIG_WITHOUT": without,
        }
        if clock != (1.0, 0.0):
            environ["TANSYWOOD_RIG_CLOCK"] = f"{clock[0]},{clock[1]}"
        self.service = ServiceProcess(
            folder, workers, more=section if fleet else "", environ=environ
        )

    def start(self) -> None:
        """Until it serves; RuntimeError with its log where it does not come to that."""
        self.service.start()
        self.up = True
        self.stopped = False

    def provision(self, tenant: str, servers: Sequence[tuple[str, int]], **over: Any) -> None:
        """Make the tenant and a caller's key, unless its disk has them."""
        if self.token:
            return
        operator = self.service.operator()
        made = document(tenant, servers, **over)
        for row in made["servers"]:
            row["started_ms"] = 1  # long ago: not cold
        operator.must("POST", "/v1/tenants", made)
        key = operator.must("POST", f"/v1/tenants/{tenant}/keys", {"role": "caller"})
        self.token = key.body["token"]

    def kill(self) -> None:
        self.up = False
        self.stopped = False
        if self.service.process is None:
            return
        for pid in self.service.pids():
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGCONT)  # a stopped one's end would wait
        self.service.kill()

    def wipe(self) -> None:
        """Its disk is lost: state, records, tokens."""
        for path in self.folder.iterdir():
            if path.name not in ("fleet.key", "service.log"):
                if path.is_dir():
                    shutil.rmtree(path)
                else:
                    path.unlink()
        self.token = ""

    def stop(self) -> None:
        self.stopped = True
        for pid in self.service.pids():
            os.kill(pid, signal.SIGSTOP)

    def go(self) -> None:
        for pid in self.service.pids():
            os.kill(pid, signal.SIGCONT)
        self.stopped = False

    def term(self) -> int:
        """An orderly end; its exit code."""
        self.up = False
        code = self.service.stop()
        self.service.process = None
        return code

    def fail_disk(self, how: str) -> None:
        """`full`, `broken`, `slow S`, or nothing: as it was."""
        if how:
            self.disk.write_text(how)
        else:
            self.disk.unlink(missing_ok=True)

    def signal_part(self, part: str, number: signal.Signals) -> None:
        os.kill(self.service.pid(part), number)

    def status(self) -> Mapping[str, Any]:
        """What its fleet's process says, as the operator's tool asks."""
        operator = self.service.operator()
        end = time.monotonic() + LIMIT_S
        while time.monotonic() < end:
            told = operator.must("GET", "/v1/status").body
            if "fleet" in told:
                found: Mapping[str, Any] = told["fleet"]
                return found
            time.sleep(0.05)
        raise RuntimeError(f"{self.name} has told nothing of its fleet")
