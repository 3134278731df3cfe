"""Entry point of the command-line interface."""

import sys

import defopt

import apricotseam
from apricotseam.cli import _commands
from apricotseam.errors import ApricotseamError
from apricotseam.errors import unknown_name
from apricotseam.errors import UnknownNameError

COMMANDS = [
    _commands.serve,
    _commands.check,
    _commands.apply,
    _commands.change,
    _commands.diff,
    _commands.status,
    _commands.audit,
    _commands.drain,
    _commands.address,
    _commands.ask,
    _commands.explain,
    _commands.quarantine,
    _commands.reach,
    _commands.standin,
    _commands.demo,
]
INTERRUPTED_EXIT_CODE = 130

_DESCRIPTION = "Router for language-model pipelines over mixed accelerators."
_EPILOG = """
The key of an operator or customer is read from APRICOTSEAM_KEY. For hosts
with TLS, APRICOTSEAM_AUTHORITY names the PEM file of their certificate
authority.

examples:
  apricotseam check examples/fundacion-libro-andino.yaml
  apricotseam apply scope.yaml --host 10.0.0.1:8081
  apricotseam status --host 10.0.0.1:8081 --output json
  apricotseam ask student-assistant "Is my book due?" --host 10.0.0.1:8080

exit codes:
  0 done, 1 internal error, 2 invalid input, 3 access denied, 4 conflict,
  5 refused and not run, 6 outcome unknown, 7 run and failed
  (docs/ERRORS.md lists the kinds)
"""


def main(arguments=None):
    """Run one command and return its exit code.

    Parameters
    ----------
    arguments : list of str, optional
        Command line without the program's name.

    Returns
    -------
    int
        0 on success, otherwise the exit code of the error's kind.
    """
    if arguments is None:
        arguments = sys.argv[1:]
    try:
        _check_command(arguments)
        result = defopt.run(
            COMMANDS,
            argv=arguments,
            short={},
            no_negated_flags=True,
            version=apricotseam.__version__,
            argparse_kwargs={
                "prog": "apricotseam",
                "description": _DESCRIPTION,
                "epilog": _EPILOG,
            },
        )
    except ApricotseamError as error:
        print(f"apricotseam: {error.code}: {error}", file=sys.stderr)
        return error.exit_code
    except KeyboardInterrupt:
        return INTERRUPTED_EXIT_CODE
    except OSError as error:
        print(f"apricotseam: {error}", file=sys.stderr)
        return 1
    return result or 0


def _check_command(arguments):
    """Raise an error that names the nearest command if one is unknown."""
    names = [command.__name__ for command in COMMANDS]
    if not arguments or arguments[0].startswith("-"):
        return
    if arguments[0] in names:
        return
    raise UnknownNameError(
        unknown_name("command", arguments[0], names),
        "see apricotseam --help",
    )
