"""TLS contexts that reload their certificates, and signed text."""

from apricotseam.security._signing import Signer
from apricotseam.security._tls import Certificates

__all__ = ["Certificates", "Signer"]
