"""An entry instance whose paths to servers can be cut while it runs.

``python -m siskinspool.standins.partitioned_entry SETTINGS CONTROL`` runs the daemon of
an entry instance; for ``CONTROL`` see `partitioned_gateway`.
"""

from __future__ import annotations

import sys
from pathlib import Path

from ..daemon import main as run_daemon
from .partitioned_gateway import follow_partition


def main() -> None:
    """Run the daemon with cuts as the control file says."""
    settings, control = sys.argv[1:]
    follow_partition(Path(control))
    run_daemon([settings])


if __name__ == "__main__":
    main()
