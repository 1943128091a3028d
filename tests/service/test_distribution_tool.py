"""What `python -m tansywood distribution` says where it has nobody to ask, and of what."""

from __future__ import annotations

from pathlib import Path

import pytest

from standins.distributed import section
from tansywood.__main__ import main

LISTENER = '[[listeners]]\nname = "public"\naddress = "127.0.0.1:0"\n'
ADMIN = '[admin]\naddress = "127.0.0.1:0"\n'
AT = "127.0.0.1:7000"


def asked(capsys: pytest.CaptureFixture[str], *words: str) -> str:
    """What the tool says on its way out with 2."""
    assert main(["distribution", *words]) == 2
    out, err = capsys.readouterr()
    assert not out
    return err


def settings(folder: Path, words: str) -> str:
    path = folder / "service.toml"
    path.write_text(f'[service]\nrun = "run"\n{words}')
    return str(path)


def test_a_publisher_has_no_report_and_says_who_counts(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    words = f'store = "state"\n{LISTENER}{ADMIN}' + section("publisher", "p", listen=AT)
    file = settings(tmp_path, words)
    assert "each node counts its own requests" in asked(capsys, "report", file, "cork")
    assert "GET /v1/status" in asked(capsys, "status", file)


def test_a_distributor_has_none_either(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    file = settings(tmp_path, section("distributor", "d", listen=AT, publisher=["127.0.0.1:7001"]))
    assert "each node counts its own requests" in asked(capsys, "report", file, "cork")
    assert "is the service running?" in asked(capsys, "status", file)


def test_a_report_is_one_tenants(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    file = settings(tmp_path, f'store = "state"\n{LISTENER}' + section("node", "n", control=[AT]))
    assert "report FILE TENANT" in asked(capsys, "report", file)
    assert "report FILE TENANT" in asked(capsys, "status", file, "cork")
    assert "is the service running?" in asked(capsys, "report", file, "cork")
