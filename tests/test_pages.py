"""Files, modules and identifiers that the pages name exist: no rename leaves a page behind.

What stands between backticks counts. A path has to be a file or a folder, a module behind
`python -m` has to be there, and an identifier has to occur in the code or in a settings file.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
PACKAGES = ("flinthatch", "windrelay", "tansywood", "standins", "benchmarks", "tests")
DATA_SUFFIXES = (".toml", ".c", ".json", ".txt")
# Names of other programs and of the system, which no file here has to contain.
FOREIGN = frozenset({"protobuf"})
# Variables whose names the code puts together from a prefix and a key.
ASSEMBLED = frozenset({"PROXY_DISCOVERY", "PROXY_LISTEN", "PROXY_MGMT", "PROXY_NAME"})

SPAN = re.compile(r"`([^`\n]+)`")
COMMAND = re.compile(r"python -m ([a-z_]\w*(?:\.\w+)*)")
PATH = re.compile(r"[\w.-]+/[\w./-]*|[\w-]+\.(?:py|toml|md|c)")
IDENTIFIER = re.compile(r"[A-Za-z_]\w*(?:\.[A-Za-z_]\w*)*(?:\(\))?")
WORD = re.compile(r"[A-Za-z_]\w*")


def words_of(tree: ast.AST) -> Iterator[str]:
    """Names of a module and the words of its strings, docstrings left out."""
    docstrings = {
        id(node.value)
        for node in ast.walk(tree)
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
    }
    for node in ast.walk(tree):
        for field in ("id", "attr", "arg", "name"):
            value = getattr(node, field, None)
            if isinstance(value, str):
                yield from WORD.findall(value)
        if isinstance(node, ast.Constant) and id(node) not in docstrings:
            if isinstance(node.value, str):
                yield from WORD.findall(node.value)
            elif isinstance(node.value, bytes):
                yield from WORD.findall(node.value.decode("latin-1"))


@cache
def known_words() -> frozenset[str]:
    """Every word that the code or a settings file contains outside its comments."""
    found: set[str] = set(PACKAGES)
    for package in PACKAGES:
        for path in (ROOT / package).rglob("*"):
            if path.suffix == ".py":
                found.add(path.stem)
                found.add(path.parent.name)
                found.update(words_of(ast.parse(path.read_text())))
            elif path.suffix in DATA_SUFFIXES:
                found.update(WORD.findall(path.read_text()))
    for path in [*(ROOT / "deploy").rglob("*.toml"), *ROOT.glob("*.t*"), ROOT / "Makefile"]:
        found.update(WORD.findall(path.read_text()))
    return frozenset(found)


def members_of(class_node: ast.ClassDef) -> Iterator[str]:
    """Methods, declared fields and attributes of `self`."""
    for node in ast.walk(class_node):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            yield node.name
        elif isinstance(node, ast.Name):
            yield node.id
        elif isinstance(node, ast.Attribute) and ast.unparse(node.value) == "self":
            yield node.attr


@cache
def known_members() -> dict[str, frozenset[str]]:
    """Members by class; classes of one name are taken together."""
    found: dict[str, frozenset[str]] = {}
    for package in PACKAGES:
        for path in (ROOT / package).rglob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.ClassDef):
                    earlier = found.get(node.name, frozenset())
                    found[node.name] = earlier | frozenset(members_of(node))
    return found


def is_known(name: str) -> bool:
    """Whether an identifier, or a member with its class before it, is in the code."""
    words = WORD.findall(name)
    if len(words) == 2 and words[0] in known_members():
        return words[1] in known_members()[words[0]]
    return set(words) <= known_words() | FOREIGN | ASSEMBLED


def module_exists(name: str) -> bool:
    path = ROOT / name.replace(".", "/")
    return path.with_suffix(".py").is_file() or (path / "__main__.py").is_file()


def path_exists(page: Path, name: str) -> bool:
    """Whether a path is there, from the root, from the page's folder, or inside some package."""
    bases = [ROOT, page.parent, *(ROOT / package for package in PACKAGES)]
    if any((base / name).exists() or (base / f"{name}.py").is_file() for base in bases):
        return True
    return "/" not in name and any(any((ROOT / p).rglob(name)) for p in (*PACKAGES, "docs"))


def missing(page: Path) -> Iterator[str]:
    """What a page names and the repository lacks."""
    text = page.read_text()
    for name in COMMAND.findall(text):
        if name.split(".")[0] in PACKAGES and not module_exists(name):
            yield f"python -m {name}"
    for span in SPAN.findall(re.sub(r"```.*?```", "", text, flags=re.DOTALL)):
        if PATH.fullmatch(span):
            ours = span.split("/")[0] in PACKAGES or span.endswith((".py", ".md"))
            if ours and not path_exists(page, span):
                yield span
        elif IDENTIFIER.fullmatch(span) and not is_known(span):
            yield span


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_a_page_names_nothing_that_is_gone(page: Path) -> None:
    assert sorted(set(missing(page))) == []
