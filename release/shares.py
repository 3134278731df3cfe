"""Prints the shares of tests, soak and decision code in all code.

Blank lines, comment lines and generated code are not counted. Decision code
is the code of the packages that decide where and when requests run.
``python -m release.shares`` exits with 1 if the soak has at least a tenth as
many lines as the code, or if less than a quarter of the code is decision
code.
"""

import pathlib
import sys

ROOT = pathlib.Path(__file__).parent.parent
GENERATED_SUFFIXES = ("_pb2.py", "_grpc.py")
DECISION_PACKAGES = (
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
    "sharing",
)
# The soak has to stay below this ratio to the code without tests.
MAX_SOAK_RATIO = 1 / 10
# Least share of decision code in the code without tests.
MIN_DECISION_SHARE = 1 / 4


def count_lines(path):
    """Return the number of lines that are neither blank nor comments."""
    lines = (line.strip() for line in path.read_text().splitlines())
    return sum(bool(line) and not line.startswith("#") for line in lines)


def is_test(path):
    """Return whether a file holds tests or what they share."""
    return "tests" in path.parts or path.name == "conftest.py"


def package_of(path):
    """Return the package or top-level folder that a file belongs to."""
    parts = path.relative_to(ROOT).parts
    return parts[1] if parts[0] == "apricotseam" else parts[0]


def main():
    """Print the shares; return 1 if a limit is violated, otherwise 0."""
    files = [
        path
        for folder in ("apricotseam", "measure", "release", "soak")
        for path in sorted((ROOT / folder).rglob("*.py"))
        if not path.name.endswith(GENERATED_SUFFIXES)
    ]
    tests = sum(count_lines(path) for path in files if is_test(path))
    code_files = [path for path in files if not is_test(path)]
    code = sum(map(count_lines, code_files))
    decisions = sum(
        count_lines(p)
        for p in code_files
        if package_of(p) in DECISION_PACKAGES
    )
    soak = sum(count_lines(p) for p in files if package_of(p) == "soak")
    print(f"code {code} lines, tests {tests} lines")
    print(f"tests / (code + tests): {tests / (tests + code):.3f}")
    print(f"soak / code: {soak / code:.3f}")
    print(f"decision code / code: {decisions / code:.3f}")
    is_soak_too_large = soak >= MAX_SOAK_RATIO * code
    return int(is_soak_too_large or decisions < MIN_DECISION_SHARE * code)


if __name__ == "__main__":
    sys.exit(main())
