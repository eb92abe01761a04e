"""Starts the gateway daemon; the deploy file runs this file without a shell."""

import signal

# By default SIGHUP ends a process, and the imports take some time. The daemon sets its
# own handler once it runs; the settings are read after this in any case.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from siskinspool.platform.daemon import main  # noqa: E402

if __name__ == "__main__":
    main()
