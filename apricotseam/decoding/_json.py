"""Decoding of JSON into records."""

import msgspec

from apricotseam.errors import InvalidInputError


def decode_json(decoder, value, remedy="correct the value"):
    """Return the record in a JSON text of another program.

    Parameters
    ----------
    decoder : msgspec.json.Decoder
        Decoder of the record's type.
    value : bytes
        The text, which may be anything.
    remedy : str
        What to do about an invalid one, for the error.

    Returns
    -------
    object
        Instance of the decoder's type.

    Raises
    ------
    InvalidInputError
        If the text is not JSON, nested too deeply, or not of that type.

    Examples
    --------
    >>> decoder = msgspec.json.Decoder(list[int])
    >>> decode_json(decoder, b"[1, 2]")
    [1, 2]
    """
    try:
        return decoder.decode(value)
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        raise InvalidInputError(f"invalid JSON ({error})", remedy) from None
