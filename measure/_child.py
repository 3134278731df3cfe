"""Child process of the runner; prints the figures of one run as JSON."""

import importlib
import sys

import msgspec


def main():
    """Read one run from standard input, execute it and print its figures.

    The input is a JSON list of kind, parameters, variant and seed. The
    figures are the last line of standard output, as a JSON list.
    """
    kind, parameters, variant, seed = msgspec.json.decode(
        sys.stdin.buffer.read()
    )
    module = importlib.import_module(f"measure.kinds.{kind}")
    figures = module.run(parameters, variant, seed)
    print(msgspec.json.encode(figures).decode(), flush=True)


if __name__ == "__main__":
    main()
