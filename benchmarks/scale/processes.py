"""What a process uses, by the kernel's own accounts; whole instances; and processes for plays."""

from __future__ import annotations

import multiprocessing
import tempfile
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from pathlib import Path

from standins.fleet.instances import free_port
from standins.memory import proportional_bytes
from standins.service import ServiceProcess, document

WORKERS = 2


def cpu_seconds(pid: int) -> float:
    """Processor time of all threads of a process, to the nanosecond (`schedstat`)."""
    rows = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((row / "schedstat").read_text().split()[0]) for row in rows) / 1e9


def parts_of(service: ServiceProcess) -> dict[str, int]:
    """Process ids of a service's parts by name, the supervisor's among them."""
    assert service.process is not None
    names = ["admin", "fleet", "door", *(f"worker-{n}" for n in range(service.workers))]
    found = {name: service.pid(name) for name in names}
    return {"supervisor": service.process.pid} | {n: pid for n, pid in found.items() if pid}


def total(by_part: dict[str, float]) -> float:
    """Over all processes of one instance."""
    return sum(by_part.values())


def used(service: ServiceProcess) -> dict[str, float]:
    """Processor seconds of each part so far."""
    return {name: cpu_seconds(pid) for name, pid in parts_of(service).items()}


def memory(service: ServiceProcess) -> dict[str, float]:
    """Bytes (Pss) of each part now."""
    return {name: float(proportional_bytes(pid)) for name, pid in parts_of(service).items()}


def free_address() -> str:
    """A place on loopback for datagrams that nobody has."""
    return f"127.0.0.1:{free_port()}"


@contextmanager
def hosted(
    workers: int = WORKERS, name: str = "node", address: str = "", home: str = ""
) -> Iterator[ServiceProcess]:
    """A whole instance on loopback; ended and its folder removed behind it.

    `home` is the address of the fleet's one home, by default the instance's own.
    """
    address = address or free_address()
    with tempfile.TemporaryDirectory(prefix="tw") as made:
        folder = Path(made)
        key = folder / "fleet.key"
        key.write_text("00112233445566778899aabbccddeeff" * 2 + "\n")
        key.chmod(0o600)
        section = (
            f'[fleet]\nname = "scale"\ninstance = "{name}"\naddress = "{address}"\n'
            f'first = ["{home or address}"]\nkey_file = "fleet.key"\n'
        )
        service = ServiceProcess(folder, workers, more=section)
        service.start()
        try:
            yield service
        finally:
            service.kill()


def small_document(name: str, classes: int = 1, servers: int = 1) -> dict[str, object]:
    """A tenant with so many routes and backends; nothing listens at these."""
    made = document(name, [(f"s-{n}", 9 + n) for n in range(servers)])
    row = {"aim_ms": 1000, "deadline_ms": 2000, "repeat": "safe"}
    made["classes"] = [{"name": f"route-{n}"} | row for n in range(classes)]
    return made


def worker_pool() -> ProcessPoolExecutor:
    """Processes of their own, not forked from one that has threads."""
    return ProcessPoolExecutor(2, mp_context=multiprocessing.get_context("spawn"))
