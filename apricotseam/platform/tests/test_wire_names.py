"""The users' wire names stand in `platform/` only."""

import pathlib
import re

import apricotseam

ROOT = pathlib.Path(apricotseam.__file__).parent
WIRE_NAMES = re.compile(
    r"[Aa]pricotseam-(Request-Id|Key|Tenant|Deadline-Ms|Token-Count"
    r"|Length-Hint|Prefix-Hash|Expect-|Hop-Count|Not-Executed|Server-)"
    r"|kv-(txn|watch|range|keep|lease|key)|op/config|servers/"
    r"|(?<![a-z])/v1/(resolve|readyz|report|order)\b",
    re.IGNORECASE,
)
# Stand-ins speak as the platform does.
ALLOWED = ("platform", "standins")


def test_wire_names_stay_inside():
    found = []
    for path in sorted(ROOT.rglob("*.py")):
        parts = path.relative_to(ROOT).parts
        if parts[0] in ALLOWED or "tests" in parts:
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if WIRE_NAMES.search(line):
                found.append(f"{path.relative_to(ROOT)}:{number}: {line}")
    assert found == []
