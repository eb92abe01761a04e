"""The command group that reports every error as one line and an exit status."""

from __future__ import annotations

import errno
import sys
from typing import Any

import click

from ..store.kv import LostAnswerError, UnavailableError
from .output import ExitStatus, fail


class ErrorReportingGroup(click.Group):
    """Prints errors, including those of click, as ``siskinspool: <code>: <text>``."""

    def main(self, *args: Any, **options: Any) -> Any:
        """Run a command and exit with its status."""
        options["standalone_mode"] = False
        try:
            result = super().main(*args, **options)
        except click.exceptions.NoArgsIsHelpError as error:
            error.show()
            sys.exit(int(ExitStatus.USAGE))
        except click.ClickException as error:
            fail(ExitStatus.USAGE, "usage", error.format_message())
        except click.Abort:
            fail(ExitStatus.UNKNOWN, "interrupted", "the command was interrupted")
        except (LostAnswerError, UnavailableError) as error:
            fail(ExitStatus.UNREACHABLE, "service_unreachable", str(error))
        except OSError as error:
            if error.errno == errno.EPIPE:
                # The reader of a pipe, such as head, has closed it.
                sys.exit(int(ExitStatus.OK))
            fail(ExitStatus.UNREACHABLE, "io_error", str(error))
        sys.exit(result if isinstance(result, int) else int(ExitStatus.OK))
