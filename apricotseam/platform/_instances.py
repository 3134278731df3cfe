"""Which process of a target answers."""

EXPECTED_TARGET_HEADER = b"Apricotseam-Expect-Instance"
TARGET_HEADER = b"apricotseam-instance-id"
OTHER_TARGET_STATUS = 421


def expected_target_headers(identity):
    """Return the headers by which only one target runs a request.

    Any other process answers it with `OTHER_TARGET_STATUS`.

    Examples
    --------
    >>> expected_target_headers("i-1")
    [(b'Apricotseam-Expect-Instance', b'i-1')]
    """
    return [(EXPECTED_TARGET_HEADER, identity.encode())]


def is_answer_of(answer, identity):
    """Return whether the target that was expected gave an answer.

    Parameters
    ----------
    answer : ResponseHead
        Answer to a request with `expected_target_headers`.
    identity : str
        Identity of the target.
    """
    if answer.status == OTHER_TARGET_STATUS:
        return False
    return answer.header(TARGET_HEADER) in (None, identity)
