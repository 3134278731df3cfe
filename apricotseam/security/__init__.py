"""TLS contexts with certificate reload, and text signatures."""

from apricotseam.security._signing import Signer
from apricotseam.security._tls import Certificates

__all__ = ["Certificates", "Signer"]
