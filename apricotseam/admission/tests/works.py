"""Works as the tests need them."""

from apricotseam.admission import Work


def work(number=0, customer="c", rank=1, **more):
    """Return a `Work` with usual values."""
    values = {
        "request": str(number),
        "scope": "s",
        "customer": customer,
        "customer_weight": 1.0,
        "pool": "g",
        "priority": f"class-{rank}",
        "rank": rank,
        "weight": 1.0,
        "deadline": 1e9,
        "tokens": 10,
    }
    values.update(more)
    return Work(**values)
