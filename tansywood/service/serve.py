"""`python -m tansywood serve FILE`: read and check the settings, then become the supervisor.

The supervisor lives as long as the service and needs none of what reads settings (the schema's
library alone takes more memory than it does). So it is another program in the same process
(execve(2)): its process id stays, and what was loaded before is gone.
"""

from __future__ import annotations

import os
import pickle
import sys
import tempfile

from tansywood.service.planned import lay_out
from tansywood.service.settings import SettingsError, load


def main(path: str) -> int:
    """Serve to the end; 2 where the file can't be used. Comes back only then."""
    try:
        layout = lay_out(load(path))
    except SettingsError as err:
        for fault in err.faults:
            print(f"{path}: {fault}", file=sys.stderr)
        return 2
    sys.stdout.flush()
    sys.stderr.flush()
    with tempfile.TemporaryFile() as file:  # without a name: it is gone with its last descriptor
        pickle.dump(layout, file)
        file.flush()
        os.lseek(file.fileno(), 0, os.SEEK_SET)
        os.set_inheritable(file.fileno(), True)
        module = ["-B", "-m", "tansywood.service.supervisor"]
        os.execv(sys.executable, [sys.executable, *module, path, str(file.fileno())])
