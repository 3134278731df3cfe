"""Child process of the runner: one run, its figures as a line of JSON."""

import importlib
import sys

import msgspec


def main():
    """Read what to run from standard input and print its figures."""
    kind, parameters, variant, seed = msgspec.json.decode(
        sys.stdin.buffer.read()
    )
    module = importlib.import_module(f"measure.kinds.{kind}")
    figures = module.run(parameters, variant, seed)
    print(msgspec.json.encode(figures).decode(), flush=True)


if __name__ == "__main__":
    main()
