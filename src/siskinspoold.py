"""Starts the gateway daemon; the deploy file runs this file without a shell."""

from siskinspool.platform.daemon import main

if __name__ == "__main__":
    main()
