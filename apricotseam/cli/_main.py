"""Entry point of the program."""

import sys

import defopt

from apricotseam.cli import _commands
from apricotseam.errors import ApricotseamError

COMMANDS = [
    _commands.serve,
    _commands.check,
    _commands.apply,
    _commands.change,
    _commands.status,
    _commands.audit,
    _commands.drain,
    _commands.address,
    _commands.ask,
    _commands.standin,
    _commands.demo,
]


def main(arguments=None):
    """Run one command and return its exit code.

    Parameters
    ----------
    arguments : list of str, optional
        Command line without the program's name.

    Returns
    -------
    int
        0 if it went well, else the exit code of the error's kind.
    """
    try:
        result = defopt.run(
            COMMANDS, argv=arguments, no_negated_flags=True, short={}
        )
    except ApricotseamError as error:
        print(f"apricotseam: {error.code}: {error}", file=sys.stderr)
        return error.exit_code
    except OSError as error:
        print(f"apricotseam: {error}", file=sys.stderr)
        return 1
    return result or 0
