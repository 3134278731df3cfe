"""Wire names of the platform occur in the `platform` package only."""

import pathlib
import re

import apricotseam

ROOT = pathlib.Path(apricotseam.__file__).parent.parent
WIRE_NAMES = re.compile(
    r"[Aa]pricotseam-(Request-Id|Key|Tenant|Deadline-Ms|Token-Count"
    r"|Length-Hint|Prefix-Hash|Expect-|Hop-Count|Not-Executed|Server-)"
    r"|server-leaving"
    r"|kv-(txn|watch|range|keep|lease|key)|op/config|servers/"
    r"|(?<![a-z])/v1/(resolve|readyz|report|order)\b",
    re.IGNORECASE,
)
FOLDER = ROOT / "apricotseam" / "platform"


def test_wire_names_stay_inside():
    violations = []
    paths = [*ROOT.glob("apricotseam/**/*.py"), *ROOT.glob("soak/**/*.py")]
    for path in sorted(paths):
        if path.is_relative_to(FOLDER) or "tests" in path.parts:
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if WIRE_NAMES.search(line):
                violations.append(f"{path.relative_to(ROOT)}:{number}: {line}")
    assert violations == []
