"""Prints how the lines of the repository are shared out.

Lines are counted without blank ones and comments; generated code is left
out. ``python -m release.shares`` ends with 1 if the soak reaches a tenth of
the code or decisions stay under a quarter.
"""

import pathlib
import sys

ROOT = pathlib.Path(__file__).parent.parent
GENERATED = ("_pb2.py", "_grpc.py")
DECISIONS = (
    "admission",
    "chains",
    "config",
    "coordination",
    "delivery",
    "execution",
    "fleet",
    "forwarding",
    "membership",
    "orders",
    "pipelines",
    "routes",
    "routing",
)
MAX_SOAK = 1 / 10
MIN_DECISIONS = 1 / 4


def count(path):
    """Return the number of lines that are neither blank nor comments."""
    lines = (line.strip() for line in path.read_text().splitlines())
    return sum(bool(line) and not line.startswith("#") for line in lines)


def is_test(path):
    """Return whether a file holds tests or what they share."""
    return "tests" in path.parts or path.name == "conftest.py"


def subject(path):
    """Return the package that a file belongs to."""
    parts = path.relative_to(ROOT).parts
    return parts[1] if parts[0] == "apricotseam" else parts[0]


def main():
    """Print the shares and return the exit code."""
    files = [
        path
        for folder in ("apricotseam", "measure", "release", "soak")
        for path in sorted((ROOT / folder).rglob("*.py"))
        if not path.name.endswith(GENERATED)
    ]
    tests = sum(count(path) for path in files if is_test(path))
    code = [path for path in files if not is_test(path)]
    total = sum(map(count, code))
    decisions = sum(count(p) for p in code if subject(p) in DECISIONS)
    soak = sum(count(p) for p in files if subject(p) == "soak")
    print(f"code {total} lines, tests {tests} lines")
    print(f"tests over code and tests: {tests / (tests + total):.3f}")
    print(f"soak over code: {soak / total:.3f}")
    print(f"decisions over code: {decisions / total:.3f}")
    is_bad = soak >= MAX_SOAK * total
    return int(is_bad or decisions < MIN_DECISIONS * total)


if __name__ == "__main__":
    sys.exit(main())
