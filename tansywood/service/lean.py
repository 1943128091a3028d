"""Start a part with the message library alone: `python -m tansywood.service.lean MODULE WORDS...`.

msgspec takes three names of `typing` from typing_extensions where that is installed, as it is for
other libraries. From Python 3.11 on both have the same; the copy takes some 2.5 MB of a control
process, of the 64 that a node's control has together. So it is hidden while msgspec is loaded,
which then takes them from `typing`, and can be loaded as ever behind that.
"""

from __future__ import annotations

import runpy
import sys

HIDDEN = "typing_extensions"


def load_messages() -> None:
    """Load msgspec without typing_extensions, where neither is loaded yet."""
    if HIDDEN in sys.modules:
        return
    sys.modules[HIDDEN] = None  # type: ignore[assignment]  # to import it is an ImportError
    try:
        import msgspec  # noqa: F401
    finally:
        del sys.modules[HIDDEN]


def main() -> None:
    """Run the module that the first word names, as `python -m` would with the others."""
    load_messages()
    del sys.argv[0]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
